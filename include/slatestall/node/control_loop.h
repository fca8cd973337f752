#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "slatestall/config/settings.h"
#include "slatestall/http/http_server.h"
#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/model/told_load.h"
#include "slatestall/platform/platform_services.h"
#include "slatestall/policy/control_snapshot.h"
#include "slatestall/policy/share_types.h"
#include "slatestall/serve/outcome_guard.h"

namespace slatestall {

/// @brief What the control thread asks of the traffic threads.
/// @ingroup node
struct control_hooks {
  /// Begins the shutdown of the process; POST /v1/admin/drain runs it.
  std::function<void()> drain;
  /// The trace of a request of this host as JSON, or an empty text.
  std::function<std::string(const std::string& request)> explain;
  /// Body of GET /v1/admin/report.
  std::function<std::string()> report;
  /// What the workspaces would use of their limits here.
  std::function<std::map<std::string, workspace_demand>()> demand;
  /// "IP:port" where this host takes callers, and operators where they have
  /// no address of their own.
  std::function<std::string()> http_address;
};

/// @brief The control state of one host, on one thread: configuration, host
/// list, load, peers and claims. Members may be called from any thread where
/// not said otherwise.
class control_loop {
 public:
  /// @param snapshots Outlives the loop.
  /// @throws std::system_error where the peer or operators' address cannot be
  /// bound.
  control_loop(const settings& options, const host_id& self, now_function now,
               snapshot_cell& snapshots, control_hooks hooks,
               const make_platform_services& platform);
  /// @brief Stops the thread.
  ~control_loop();
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  /// @brief Starts the thread.
  void Start();
  /// @brief Ends the thread; nothing is handled any more.
  void Stop();

  std::uint16_t PeerPort() const;
  /// @brief 0 where operators have no address of their own.
  std::uint16_t OperatorPort() const;

  /// @brief Serves /v1/admin/ for the traffic thread that runs `lane`; empty
  /// where operators have an address of their own.
  http_handler AdminHandler(asio::io_context& lane);
  outcome_guard Guard();
  /// @brief An endpoint said that it leaves.
  void EndpointLeaves(const std::string& address);
  /// @brief An endpoint told its load with an answer.
  void EndpointTold(const std::string& address, const told_load& load);

  /// @brief Marks this host as draining, in snapshots and towards peers.
  void BeginDrain();
  /// @brief Hands over what others need, once no request runs any more.
  /// @param done Runs on the control thread.
  void HandOver(std::function<void()> done);

  /// @brief The longest deadline that a request now in hand can have.
  milliseconds LongestDeadline() const;

  /// @brief Lines for /metrics.
  std::string Metrics() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
