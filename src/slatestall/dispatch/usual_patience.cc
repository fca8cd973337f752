#include "slatestall/dispatch/usual_patience.h"

#include <algorithm>
#include <vector>

namespace slatestall {
namespace {

/// Fewer tell no range.
constexpr std::size_t kFewest = 16;
/// Quarters of the range above the median that are taken for the one below:
/// the median of so few is off by up to a quarter.
constexpr int kHalfRange = 5;
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
  least_ = median_ - kHalfRange * (sorted.back() - median_) / 4;
}

}  // namespace slatestall
