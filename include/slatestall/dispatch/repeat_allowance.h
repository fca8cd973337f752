#pragma once

#include <deque>
#include <map>
#include <string>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How many calls may be sent beyond the first of each request.
/// @ingroup dispatch
struct repeat_limits {
  double ratio = 0.2;  ///< Repeats per request, over all hosts.
  milliseconds window{10'000};
  double reserve = 0;  ///< Repeats on top, per window and host.
};

/// @brief One host's part of a limit on repeats that all hosts share.
///
/// Each host spends in proportion to the requests that it has seen itself, so
/// that the sum keeps the limit however many hosts there are, and also while
/// they cannot reach one another.
class repeat_allowance {
 public:
  explicit repeat_allowance(const repeat_limits& limits) : limits_(limits) {}

  void SetLimits(const repeat_limits& limits) { limits_ = limits; }
  void NoteRequest(const std::string& service, time_point now);
  /// @brief Takes one repeat where one is left.
  bool Take(const std::string& service, time_point now);

 private:
  struct history {
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
  };

  void Forget(history& past, time_point now) const;

  repeat_limits limits_;
  std::map<std::string, history> histories_;
};

}  // namespace slatestall
