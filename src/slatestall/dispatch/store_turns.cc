#include "slatestall/dispatch/store_turns.h"

namespace slatestall {
namespace {

/// The time that each host of a fleet adds to the round of all: so many calls
/// a second are made in all.
constexpr milliseconds kTurnTime{5};

}  // namespace

bool store_turns::Take(std::size_t hosts, time_point now) {
  const duration round = kTurnTime * static_cast<duration::rep>(hosts);
  if (now - next_ > round) {
    // The last turn is long ago: hosts lose their reader at the same moment.
    next_ = Draw(round, now);
  }
  if (now < next_) {
    return false;
  }
  next_ = now + round / 2 + (Draw(round, now) - now);
  return true;
}

time_point store_turns::Draw(duration period, time_point now) {
  std::uniform_int_distribution<duration::rep> below(0, period.count());
  return now + duration(below(random_));
}

}  // namespace slatestall
