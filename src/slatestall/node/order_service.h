#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/http/http_client.h"
#include "slatestall/node/endpoint_directory.h"
#include "slatestall/node/lease_follower.h"
#include "slatestall/node/weight_gate.h"
#include "slatestall/policy/order_planner.h"

namespace slatestall {

/// @brief Counts of orders; read from any thread.
struct order_counters {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> applied{0};
  std::atomic<std::uint64_t> fenced{0};  ///< Refused for an old number.
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> leases_held{0};
};

/// @brief What `order_service` needs of the rest.
struct order_links {
  std::function<std::vector<std::string>()> live_hosts;
  /// The set of services whose leases this host holds changed.
  std::function<void()> on_held_change;
};

/// @brief Brings the engines of the services whose lease this host holds to
/// what the configuration wants, and keeps them there. Used from the control
/// thread.
class order_service {
 public:
  /// @param client, directory Outlive this object.
  order_service(asio::io_context& context, const host_id& self,
                http_client& client, const endpoint_directory& directory,
                log_service log, fetch_weights weights, now_function now,
                order_links links);

  void Start();
  /// @brief Gives up all leases: this host shuts down.
  void Resign();

  /// @brief Services whose engines this host gives orders to.
  const std::set<std::string>& HeldServices() const { return held_; }
  const order_counters& Counters() const { return counters_; }

 private:
  struct sent_order {
    engine_order order;
    time_point at;
  };

  void ScheduleTick();
  void OnTick();
  void RefreshHeld();
  void GiveOrders(const std::string& service);
  void Send(const std::string& service, const engine_order& order);
  void OnAnswer(const http_result& result);
  std::vector<engine_state> EnginesOf(const std::string& service) const;

  http_client& client_;
  const endpoint_directory& directory_;
  const now_function now_;
  const order_links links_;
  lease_follower leases_;
  weight_gate weights_;
  asio::steady_timer timer_;
  std::set<std::string> held_;
  std::map<std::string, sent_order> sent_;  ///< Last one by address.
  order_counters counters_;
};

}  // namespace slatestall
