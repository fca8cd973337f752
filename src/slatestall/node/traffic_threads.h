#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/config/settings.h"
#include "slatestall/http/http_server.h"
#include "slatestall/model/ids.h"
#include "slatestall/model/told_load.h"
#include "slatestall/node/demand_meter.h"
#include "slatestall/policy/control_snapshot.h"
#include "slatestall/report/report_data.h"
#include "slatestall/serve/outcome_guard.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

/// @brief What the traffic threads need of the control thread.
struct traffic_links {
  std::function<http_handler(asio::io_context& lane)> admin_handler;
  std::function<void(const std::string& address)> endpoint_leaves;
  std::function<void(const std::string& address, const told_load& load)>
      endpoint_told;
  std::function<std::string()> control_metrics;
  /// Each request of this host when it has ended; empty: none.
  std::function<void(const request_trace_ptr&)> on_request_end;
  outcome_guard guard;
};

/// @brief The traffic threads of one host, all listening on one port.
class traffic_threads {
 public:
  /// @param snapshots Outlives the threads.
  traffic_threads(const settings& options, const host_id& self,
                  now_function now, const snapshot_cell& snapshots,
                  traffic_links links);
  ~traffic_threads();
  traffic_threads(const traffic_threads&) = delete;
  traffic_threads& operator=(const traffic_threads&) = delete;

  std::uint16_t Port() const;
  void Start();
  /// @brief Ends the threads; the lanes stay until destruction.
  void Stop();

  void Drain();
  void StopAccepting();
  std::size_t InHand() const;
  /// @brief The trace of a request as JSON, or an empty text.
  std::string Explain(const std::string& request) const;
  /// @brief Burn and cost over all threads, as JSON.
  std::string Report() const;
  /// @brief Demand of the workspaces; call about once a second.
  std::map<std::string, workspace_demand> TakeDemand();

 private:
  struct lane_thread;

  std::string Metrics() const;
  report_data MergedReport() const;
  std::unique_ptr<lane_thread> MakeLane(unsigned number, std::uint16_t port);

  const settings options_;
  const host_id self_;
  const now_function now_;
  const snapshot_cell& snapshots_;
  const traffic_links links_;
  demand_meter demand_;
  std::vector<std::unique_ptr<lane_thread>> lanes_;
};

}  // namespace slatestall
