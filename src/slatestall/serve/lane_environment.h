#pragma once

#include <asio/io_context.hpp>
#include <memory>

#include "slatestall/http/http_client.h"
#include "slatestall/model/time.h"
#include "slatestall/report/report_collector.h"
#include "slatestall/serve/event_log.h"
#include "slatestall/serve/explain_ring.h"
#include "slatestall/serve/lane_counters.h"
#include "slatestall/serve/outcome_guard.h"
#include "slatestall/serve/traffic_lane.h"

namespace slatestall {

class call_scheduler;

/// @brief What the requests of one traffic thread share; outlives them.
struct lane_environment {
  asio::io_context& context;
  std::shared_ptr<http_client> client;
  call_scheduler& scheduler;
  std::shared_ptr<const outcome_guard> guard;
  now_function now;
  lane_counters& counters;
  event_log& log;
  report_collector& report;
  explain_ring& explain;
  const traffic_lane_options& options;
  const traffic_lane_hooks& hooks;
};

/// @brief Ends a call from the event loop. libcurl refuses to remove a transfer
/// from inside one of its callbacks, and attempts are often cancelled from
/// there: the first token of one attempt ends the other.
void CancelLater(const lane_environment& environment,
                 http_client::call_number number);

}  // namespace slatestall
