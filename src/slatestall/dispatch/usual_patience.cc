#include "slatestall/dispatch/usual_patience.h"

#include <algorithm>
#include <vector>

namespace slatestall {
namespace {

/// Fewer tell no range.
constexpr std::size_t kFewest = 16;
/// The range of first attempts below the median, to the one above it: as wide,
/// and a quarter on top, by which the median of so few may be off.
constexpr double kBelowToAbove = 1.25;
/// On top of the range seen: its ends are seldom among the last ones. A return
/// that comes sooner than that has lost little of its objective.
constexpr milliseconds kSlack{100};

}  // namespace

duration usual_patience::Elapsed(duration patience) const {
  if (count_ < kFewest || patience >= least_ - kSlack) {
    return duration(0);
  }
  return median_ - patience;
}

void usual_patience::Note(duration patience) {
  last_[count_ % kKept] = patience;
  ++count_;
  if (count_ <= kKept || count_ % (kKept / 8) == 0) {
    Learn();
  }
}

void usual_patience::Learn() {
  const auto known = static_cast<std::ptrdiff_t>(std::min(count_, kKept));
  std::vector<duration> sorted(last_.begin(), last_.begin() + known);
  std::sort(sorted.begin(), sorted.end());
  median_ = sorted[sorted.size() / 2];
  const duration above = sorted.back() - median_;
  least_ = median_ - Scaled(above, kBelowToAbove);
}

}  // namespace slatestall
