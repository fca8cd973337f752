#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/home_health.h"
#include "slatestall/dispatch/home_ranking.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Which host does a part of the common work, such as the calls to a
/// shard's endpoints, and whom to ask whether it lives. Pure state; the time
/// comes in.
///
/// The first host in a part's ranking that answers does it. One that has not
/// been heard of yet is waited for a moment: hosts that each took themselves
/// for the home until they knew better, as all do after a loss of power, would
/// call the same endpoints at the same time with a piece or two, and be turned
/// away. A host does everything itself only where it is ranked first of those
/// left, or reaches nobody.
/// @ingroup dispatch
class home_finder {
 public:
  home_finder(home_candidate self, time_point started,
              const disabled_mechanisms& disabled);

  void SetHosts(const std::vector<home_candidate>& others);
  /// @brief This host is to be home to nothing new.
  void Drain() { draining_ = true; }
  bool IsDraining() const { return draining_; }

  /// @return Nothing: hosts that come first are being asked, or the list of
  /// hosts is about to come.
  std::optional<std::string> HomeOf(const std::string& part,
                                    time_point now) const;
  /// @brief Adds the other hosts to be asked now so that `count` living ones of
  /// a ranking become or stay known.
  void AddDue(const std::string& part, std::size_t count, time_point now,
              std::set<std::string>& due) const;
  /// @brief Whether no other host is known to live.
  bool IsAlone() const { return !health_.AnyTrusted(); }

  home_health& Health() { return health_; }
  const home_health& Health() const { return health_; }

 private:
  const std::vector<std::string>& Ranked(const std::string& part) const;
  bool Lives(const std::string& host) const;

  home_candidate self_;
  time_point started_;
  disabled_mechanisms disabled_;
  std::vector<home_candidate> hosts_;  ///< With this one.
  mutable std::map<std::string, std::vector<std::string>> rankings_;
  home_health health_;
  bool listed_ = false;
  bool draining_ = false;
};

}  // namespace slatestall
