#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "slatestall/dispatch/endpoint_roster.h"
#include "slatestall/dispatch/repeat_allowance.h"
#include "slatestall/gateway/decision_log.h"
#include "slatestall/gateway/endpoint_protocol.h"
#include "slatestall/gateway/gateway_metrics.h"
#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/routing_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What the parts of the traffic thread share; all of it is used from
/// that thread only, the log excepted.
/// @ingroup gateway
struct gateway_environment {
  asio::io_context& context;
  const gateway_options& options;
  const endpoint_protocol& protocol;
  decision_log& log;
  now_function now;
  endpoint_roster roster;
  repeat_allowance repeats;
  gateway_metrics metrics;
  routing_table_ptr table;  ///< Null until one is known.
  /// Longest time that callers of a route have been seen to wait, by its name.
  std::map<std::string, milliseconds> patience;
  time_point started_at{};
};

}  // namespace slatestall
