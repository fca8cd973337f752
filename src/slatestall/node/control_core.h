#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "slatestall/config/settings.h"
#include "slatestall/http/http_client.h"
#include "slatestall/node/admin_api.h"
#include "slatestall/node/config_follower.h"
#include "slatestall/node/control_loop.h"
#include "slatestall/node/control_traffic.h"
#include "slatestall/node/endpoint_directory.h"
#include "slatestall/node/host_network.h"
#include "slatestall/node/host_reporter.h"
#include "slatestall/node/load_reports.h"
#include "slatestall/node/loop_gauge.h"
#include "slatestall/node/order_service.h"
#include "slatestall/node/outcome_service.h"
#include "slatestall/node/told_loads.h"
#include "slatestall/platform/platform_services.h"

namespace slatestall {

/// @brief Figures of the control thread that other threads may read.
struct control_figures {
  std::atomic<config_revision> revision{0};
  std::atomic<bool> log_reachable{false};
  std::atomic<std::uint64_t> snapshots{0};
  std::atomic<std::uint32_t> live_hosts{1};
  std::atomic<std::int64_t> longest_deadline_ms{6000};
  loop_gauge loop;
};

/// @brief Everything the control thread owns; used from that thread only, but
/// for `Figures`. Joins what the parts learn into snapshots.
class control_core {
 public:
  control_core(asio::io_context& context, const settings& options,
               const host_id& self, now_function now, snapshot_cell& snapshots,
               control_hooks hooks, const make_platform_services& platform);

  void Start();
  void HandleAdminCall(const http_request& request, const admin_reply& reply);
  void EndpointLeaves(const std::string& address);
  /// @brief Answers tell loads into `Told`; called after the first of some.
  void TakeToldSoon();
  told_loads& Told() { return told_; }
  void BeginDrain();
  void HandOver(const std::function<void()>& done);
  outcome_guard Guard() { return outcomes_.Guard(); }

  std::uint16_t PeerPort() const { return peers_.Port(); }
  const control_figures& Figures() const { return figures_; }
  const control_traffic& Traffic() const { return traffic_; }
  /// @brief Null where this host gives no orders.
  const order_counters* Orders() const {
    return orders_ ? &orders_->Counters() : nullptr;
  }

 private:
  // Parts.
  config_follower_options FollowerOptions() const;
  config_follower_hooks FollowerHooks();
  outcome_options OutcomeOptions() const;
  outcome_peers OutcomePeers();
  admin_actions AdminActions();
  std::unique_ptr<order_service> MakeOrders(asio::io_context& context);

  // What changed.
  void OnConfiguration();
  void OnHostList(const std::vector<listed_host>& hosts);
  void OnNetwork();
  void OnEndpointLeaving(const std::string& address, bool leaving);
  void OnTick();

  void FetchHosts();
  void ChooseEndpoints();
  bool LogTellsHead() const;
  void AskPeersForHead();
  void PublishSoon();
  void PublishNow();
  void ScheduleTick();

  const settings options_;
  const host_id self_;
  const now_function now_;
  snapshot_cell& snapshots_;
  const control_hooks hooks_;
  control_figures figures_;
  control_traffic traffic_;

  http_client client_;
  platform_services platform_;
  peer_node peers_;
  host_network network_;
  config_follower follower_;
  outcome_service outcomes_;
  endpoint_directory directory_;
  host_reporter reporter_;
  load_reports loads_;
  std::unique_ptr<order_service> orders_;  ///< Null without a weight store.
  told_loads told_;
  asio::steady_timer told_timer_;
  asio::steady_timer tick_timer_;
  asio::steady_timer host_list_timer_;
  asio::steady_timer snapshot_timer_;
  asio::steady_timer farewell_timer_;

  std::vector<std::string> chosen_by_;  ///< Live hosts, as of the last choice.
  time_point next_heads_{};
  time_point next_demand_{};
  std::vector<listed_host> listed_;
  bool host_list_seen_ = false;
  bool draining_ = false;
  bool publish_pending_ = false;
};

}  // namespace slatestall
