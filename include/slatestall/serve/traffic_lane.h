#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "slatestall/http/http_server.h"
#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/model/told_load.h"
#include "slatestall/policy/control_snapshot.h"
#include "slatestall/policy/traffic_policy.h"
#include "slatestall/serve/explain_ring.h"
#include "slatestall/serve/lane_counters.h"
#include "slatestall/serve/outcome_guard.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

class report_collector;

/// @brief Limits of one traffic thread.
/// @ingroup serve
struct traffic_lane_options {
  http_server_options server;
  traffic_policy_options policy;
  milliseconds service_deadline{6000};  ///< Of a plain service called directly.
  milliseconds snapshot_interval{20};   ///< How often control state is read.
  std::size_t explain_size = 1024;      ///< Requests kept for `explain`.
  std::size_t max_stage_answer_bytes = std::size_t{4} << 20U;
  /// Bytes a caller may leave unread before its events are held back here.
  std::size_t max_pending_bytes = std::size_t{256} << 10U;
};

/// @brief What a traffic thread tells and asks the rest of the process. All
/// run on the traffic thread; empty ones are skipped, except where said.
struct traffic_lane_hooks {
  /// Serves /v1/admin/; 404 where empty.
  http_handler admin;
  /// Text of /metrics; the lane's own counters where empty.
  std::function<std::string()> metrics;
  /// Every request, once, when it ended; with the usage of its attempts.
  std::function<void(const request_trace_ptr&)> on_request_end;
  /// An endpoint's own answer said that it is leaving.
  std::function<void(const std::string& address)> on_endpoint_leaving;
  /// An endpoint told its load with an answer.
  std::function<void(const std::string& address, const told_load& load)>
      on_endpoint_told;
};

/// @brief One traffic thread: callers' front, policy and pipeline runs on one
/// io_context. A request stays in it from front to back. Made, run and
/// destroyed by the owner of `context`; destroy it only when that no longer
/// runs.
class traffic_lane {
 public:
  /// @param lane Number of this traffic thread, from 0.
  /// @param snapshots Outlives the lane.
  /// @param guard Hooks that may not be empty; copied. They call back only
  /// while `context` exists.
  /// @param report Outlives the lane; only this lane records in it.
  /// @throws std::system_error where the address cannot be bound.
  traffic_lane(asio::io_context& context, const traffic_lane_options& options,
               const host_id& host, unsigned lane,
               const snapshot_cell& snapshots, outcome_guard guard,
               now_function now, report_collector& report,
               traffic_lane_hooks hooks);
  ~traffic_lane();
  traffic_lane(const traffic_lane&) = delete;
  traffic_lane& operator=(const traffic_lane&) = delete;

  std::uint16_t Port() const;

  /// @brief Fails readiness; requests are still served. From any thread.
  void Drain();
  /// @brief Refuses new requests as `draining` and takes no new connections;
  /// requests in hand go on. From any thread.
  void StopAccepting();
  /// @brief Requests begun and not yet answered. From any thread.
  std::size_t InHand() const;
  /// @brief Counts of this lane; may be read from any thread.
  const lane_counters& Counters() const;
  /// @brief Log events dropped for their rate. From any thread.
  std::uint64_t LogEventsDropped() const;
  /// @brief The last requests; may be asked from any thread.
  const explain_ring& Explain() const;
  /// @brief Calls in flight by endpoint address. From the lane's thread only.
  std::map<std::string, std::uint32_t> InFlight() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
