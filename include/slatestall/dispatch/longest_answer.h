#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Learns how long the answers of a route take, from the request's
/// arrival to their last byte.
///
/// Tells a host that is about to stop which requests it will live to answer:
/// streams end after a few seconds of the fifteen that their callers would
/// wait, and no configuration tells how many. The longest of the last answers
/// is taken, twice while few were seen; of those to come, one in sixty or so
/// takes longer. Pure state.
/// @ingroup dispatch
class longest_answer {
 public:
  /// @returns nothing until enough was seen.
  std::optional<duration> Value() const;
  void Note(duration taken);

 private:
  /// Answers of a few seconds on a busy host, and of any size among them.
  static constexpr std::size_t kKept = 64;
  /// A host that started seconds ago has seen few; where it asked for more, it
  /// would refuse most of what it could still answer.
  static constexpr std::size_t kFewest = 4;
  /// Fewer miss the large ones of a route.
  static constexpr std::size_t kEnough = 16;

  std::array<duration, kKept> last_{};
  std::size_t count_ = 0;  ///< All that were noted.
};

}  // namespace slatestall
