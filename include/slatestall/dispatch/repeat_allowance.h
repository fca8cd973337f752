#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "slatestall/dispatch/repeat_reserve.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How many calls may be sent beyond the first of each request.
/// @ingroup dispatch
struct repeat_limits {
  double ratio = 0.2;  ///< Repeats per request.
  milliseconds window{10'000};
  double reserve = 0;  ///< Repeats on top, per window and service.
};

/// @brief One host's part of a limit on repeats that all hosts share.
///
/// Each host spends in proportion to the requests that it has seen itself, so
/// that the sum keeps the limit however many hosts there are, and also while
/// they cannot reach one another. On top comes what it has of the reserve.
class repeat_allowance {
 public:
  explicit repeat_allowance(const repeat_limits& limits)
      : limits_(limits), share_(Times()) {}

  void SetLimits(const repeat_limits& limits);
  /// @brief How long parts of the reserve last under these limits.
  reserve_times Times() const;

  void NoteRequest(const std::string& service, time_point now);
  /// @brief Takes one repeat where one is left.
  bool Take(const std::string& service, time_point now);

  void NoteCensus(const host_census& census, time_point now) {
    share_.Note(census, now);
  }
  /// @brief Whether this host may draw on limits that all hosts share.
  bool IsCounted(time_point now) const { return share_.IsCounted(now); }
  /// @brief For the pool: what this host lends it, and the repeats that were
  /// lacking, or taken of grants, since the last question.
  reserve_question Question(const std::string& pool, time_point now);
  void NoteAnswer(const std::string& pool, const reserve_answer& answer,
                  time_point asked, time_point now);

 private:
  struct grant {
    std::size_t repeats = 0;
    time_point until{};
  };
  struct history {
    std::deque<time_point> requests;
    std::deque<time_point> repeats;       ///< By the ratio.
    std::deque<time_point> kept_repeats;  ///< Of the own share of the reserve.
    std::deque<grant> grants;
  };

  void Forget(history& past, time_point now) const;
  bool TakeByRatio(history& past, time_point now) const;
  bool TakeKept(history& past, time_point now) const;
  static bool TakeGranted(history& past);

  repeat_limits limits_;
  reserve_share share_;
  std::map<std::string, history> histories_;
  std::map<std::string, std::size_t> wanted_;
};

}  // namespace slatestall
