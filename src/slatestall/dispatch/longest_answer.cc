#include "slatestall/dispatch/longest_answer.h"

#include <algorithm>

namespace slatestall {

std::optional<duration> longest_answer::Value() const {
  if (count_ < kFewest) {
    return std::nullopt;
  }
  const auto longest = *std::max_element(last_.begin(), last_.end());
  return count_ < kEnough ? 2 * longest : longest;
}

void longest_answer::Note(duration taken) {
  last_[count_ % kKept] = taken;
  ++count_;
}

}  // namespace slatestall
