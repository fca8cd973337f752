#pragma once

#include <array>
#include <cstddef>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Learns how long the callers of a route are ready to wait at their
/// first attempt, and tells from it which of them have come back.
///
/// Answers callers that return after a refusal: objectives count from the
/// first attempt, and the only trace of it is that less patience is left.
/// First attempts differ too. Taking the longest patience for everybody's made
/// first attempts with a shorter deadline pass for returns that had already
/// missed their objective: they waited behind all others. So they are told
/// apart by the usual range.
///
/// The range is taken as symmetric around the median of the last ones; a
/// minority of returns moves the median little. Pure state.
/// @ingroup dispatch
class usual_patience {
 public:
  /// @returns how long ago the first attempt of a caller with that patience
  /// was, by estimate; 0 for what passes as a first attempt.
  duration Elapsed(duration patience) const;
  void Note(duration patience);

 private:
  /// Enough for a stable median, few enough to follow a change within seconds.
  static constexpr std::size_t kKept = 128;

  void Learn();

  std::array<duration, kKept> last_{};
  std::size_t count_ = 0;  ///< All that were noted.
  duration median_{0};
  duration least_{0};  ///< Of a first attempt.
};

}  // namespace slatestall
