#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "slatestall/dispatch/call_limit.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Which part of a quota a host may use.
/// @ingroup dispatch
enum class quota_share {
  kCounted,    ///< It is in all lists that are in use, and knows the others.
  kUncounted,  ///< It has just started, or its list is old.
  kHome,       ///< All hosts' calls to the endpoint go through it.
};

/// @brief Keeps the calls a second that an endpoint in need takes from all
/// hosts together.
///
/// As with `call_limit`, few hosts use the quota. Hosts that are not counted
/// choose among themselves in the same way, and use a quarter of it: what both
/// send together stays within the tolerance of one and a half times the quota.
/// The other hosts send nothing but a call once in a while, all together a
/// small part of the quota, by whose answer they learn whether it still holds.
/// Pure state; the time comes in.
class endpoint_quota {
 public:
  explicit endpoint_quota(std::string self);

  /// @param hosts All listed hosts; this one counts whether listed or not.
  void SetHosts(const std::vector<std::string>& hosts);

  /// @brief Whether this host may send one more call now.
  /// @param per_second As the endpoint names it.
  bool Allows(const endpoint_incarnation& endpoint, double per_second,
              quota_share share, time_point now);
  /// @brief Whether a call may be sent now or within a few seconds.
  bool HasPart(const endpoint_incarnation& endpoint, double per_second,
               quota_share share, time_point now);
  void NoteSent(const endpoint_incarnation& endpoint, double per_second,
                time_point now);

 private:
  bool IsLookDue(const endpoint_incarnation& endpoint, double per_second,
                 time_point now);
  duration NextLook(const endpoint_incarnation& endpoint, double per_second,
                    time_point now) const;

  std::string self_;
  std::size_t hosts_ = 1;
  call_limit limit_;
  std::map<endpoint_incarnation, time_point> looks_;  ///< Due then.
};

}  // namespace slatestall
