#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "slatestall/model/configuration.h"
#include "slatestall/policy/share_types.h"

namespace slatestall {

/// @brief Lends the pools of the workspaces this host is allocator of. Soft
/// state: a new allocator learns from the requests what is still lent.
/// @ingroup policy
class share_allocator {
 public:
  explicit share_allocator(share_rules rules);

  /// @param known_hosts Hosts that may admit; each has its floor.
  /// @param reachable_hosts Of these, the ones on this side of a partition;
  /// only their part of the pool is lent here.
  void UseHosts(std::uint32_t known_hosts, std::uint32_t reachable_hosts);

  share_grant Ask(const std::string& host, const share_request& request,
                  const workspace_limits& limits, time_point now);

  /// @brief Drops grants that ran out and workspaces without any.
  void Tick(time_point now);

  std::size_t GrantCount() const;

 private:
  struct lease {
    workspace_demand demand;
    workspace_share lent;
    time_point ends{};
  };
  struct workspace_pool {
    std::map<std::string, lease> leases;
    /// Until here grants of a former allocator may run that are not known.
    time_point learning_until{};
  };
  /// One of the three limits of a workspace.
  struct resource {
    double limit = 0;
    double held = 0;
    double workspace_demand::*demand = nullptr;
    double workspace_share::*lent = nullptr;
  };

  milliseconds Interval() const;
  double Lend(const workspace_pool& pool, const std::string& host,
              const resource& wanted, bool learning) const;

  share_rules rules_;
  double known_hosts_ = 1;
  double reachable_hosts_ = 1;
  std::map<std::string, workspace_pool> pools_;
};

}  // namespace slatestall
