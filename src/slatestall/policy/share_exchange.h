#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "slatestall/policy/demand_estimate.h"
#include "slatestall/policy/event_queue.h"
#include "slatestall/policy/share_allocator.h"
#include "slatestall/policy/share_divider.h"

namespace slatestall {

/// @brief The hosts of a replay dividing workspace limits: the dividers and
/// allocators of real hosts, with messages that take time and can be lost.
class share_exchange {
 public:
  share_exchange(event_queue& events, duration one_way);

  /// @brief The hosts in force; new ones start with nothing lent.
  void UseHosts(const std::vector<std::string>& names);
  void UseLimits(const std::map<std::string, workspace_config>& workspaces);
  /// @brief Begins with every host holding its equal part, as in a system that
  /// has run for a while under even load.
  void Start();

  /// @brief Where the ends of the host's requests are counted.
  demand_estimate& Demand(const std::string& host);
  std::map<std::string, workspace_share> Shares(const std::string& host) const;

  /// @brief Cuts the hosts `far` off from the others. Each side sees that
  /// after some seconds.
  void Part(const std::set<std::string>& far);
  void Heal();
  /// @brief The host forgets all it lent, holds and measured.
  void Restart(const std::string& host);

 private:
  struct host_state {
    share_divider divider{share_rules()};
    share_allocator allocator{share_rules()};
    demand_estimate demand{time_point{}};
  };

  void Tick();
  void Measure();
  void AskAll();
  void Ask(const std::string& from, const share_request& request);
  void Answer(const std::string& from, const std::string& to,
              const share_request& request, time_point asked_at);
  void Fail(const std::string& from, const std::string& workspace);
  bool Reaches(const std::string& from, const std::string& to) const;
  std::vector<std::string> SeenBy(const std::string& host) const;

  event_queue& events_;
  duration one_way_;
  std::map<std::string, std::unique_ptr<host_state>> hosts_;
  std::map<std::string, workspace_config> workspaces_;
  std::set<std::string> far_;
  time_point change_seen_{};  ///< When the last cut or healing is noticed.
  std::set<std::string> seen_far_;
  time_point measured_{};
};

}  // namespace slatestall
