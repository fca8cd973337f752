#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "slatestall/dispatch/call_limit.h"
#include "slatestall/dispatch/endpoint_record.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Keeps what all hosts together have turned away by a brittle endpoint
/// within what it bears.
///
/// Whether a call finds a place is known when it is answered, so each one
/// counts as turned away for a moment. A few hosts, by rendezvous hashing, have
/// a part of what the endpoint bears each and send as long as it is not used
/// up. The others send one call in an interval that grows with their number.
/// @ingroup dispatch
class brittle_limit {
 public:
  explicit brittle_limit(std::string self);

  /// @param hosts All listed hosts; this one counts whether listed or not.
  void SetHosts(const std::vector<std::string>& hosts);

  /// @brief Whether this host may send one more call to the endpoint now.
  /// @param bears Calls a second that the endpoint bears to turn away.
  /// @param is_counted Whether all other hosts list this one.
  bool Allows(const endpoint_incarnation& endpoint, double bears,
              bool is_counted, time_point now);
  /// @brief The same for the host through which all calls there go.
  bool AllowsHome(const endpoint_incarnation& endpoint, double bears,
                  time_point now);
  void NoteSent(const endpoint_incarnation& endpoint, double bears,
                time_point now);
  void NoteTurnedAway(const endpoint_incarnation& endpoint, time_point now);

 private:
  /// This host's calls at one endpoint.
  struct calls {
    std::deque<time_point> sent;         ///< Not yet known to have a place.
    std::deque<time_point> turned_away;  ///< In the window.
    time_point next_single{};            ///< Where the host has no part.
  };

  std::size_t AtRisk(const endpoint_incarnation& endpoint, time_point now);
  duration SingleInterval(const endpoint_incarnation& endpoint, double bears,
                          time_point now) const;

  std::string self_;
  call_limit parts_;
  std::size_t hosts_ = 1;
  std::map<endpoint_incarnation, calls> calls_;
};

}  // namespace slatestall
