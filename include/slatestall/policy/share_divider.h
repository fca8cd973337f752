#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/policy/share_types.h"

namespace slatestall {

/// @brief Divides workspace limits: decides this host's share of each, and
/// when to ask for more.
/// @ingroup policy
class share_divider {
 public:
  explicit share_divider(share_rules rules);

  /// @param known_hosts `membership_view::KnownHosts`.
  void UseHosts(std::uint32_t known_hosts);
  /// @brief Takes the limits of all workspaces of the configuration.
  void UseLimits(const std::map<std::string, workspace_config>& workspaces);
  void UseDemand(const std::string& workspace, const workspace_demand& demand);

  /// @brief Workspaces whose allocator has to be asked now; each counts as
  /// asked.
  std::vector<share_request> TakeDue(time_point now);
  /// @param asked_at When the request left. Counted from there, the grant
  /// ends here before the allocator lends it to others.
  void TakeGrant(const share_grant& grant, time_point asked_at);
  /// @brief The allocator gave no answer.
  void AskFailed(const std::string& workspace, time_point now);

  /// @brief Shares of all workspaces that have limits. Fields without a limit
  /// are 0. Never 0 for a field that has one.
  std::map<std::string, workspace_share> Shares(time_point now) const;

 private:
  struct workspace_state {
    workspace_limits limits;
    workspace_demand demand;
    workspace_share lent;
    time_point lent_until{};
    time_point ask_at{};
    time_point cut_off_until{};  ///< The allocator did not answer.
  };

  milliseconds Pace() const;
  bool WantsMore(const workspace_state& state) const;
  double ShareOf(const workspace_state& state, double limit, double lent,
                 time_point now) const;

  share_rules rules_;
  double known_hosts_ = 1;
  std::map<std::string, workspace_state> workspaces_;
};

}  // namespace slatestall
