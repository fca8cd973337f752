#include "slatestall/report/window_ring.h"

namespace slatestall {

window_ring::window_ring(duration length)
    : bucket_length_(length / static_cast<std::int64_t>(kBuckets)) {}

std::int64_t window_ring::NumberAt(time_point when) const {
  return when.time_since_epoch() / bucket_length_;
}

void window_ring::Add(time_point when, bool attained) {
  const std::int64_t number = NumberAt(when);
  bucket& slot = buckets_[static_cast<std::size_t>(number) % kBuckets];
  if (slot.number > number) {
    // A record that ended a whole window ago: no window holds it any more.
    return;
  }
  if (slot.number < number) {
    slot = {number, {}};
  }
  ++(attained ? slot.counts.attained : slot.counts.missed);
}

window_counts window_ring::Sum(time_point now) const {
  const std::int64_t newest = NumberAt(now);
  const std::int64_t oldest = newest - static_cast<std::int64_t>(kBuckets) + 1;
  window_counts sum;
  for (const bucket& slot : buckets_) {
    if (slot.number >= oldest && slot.number <= newest) {
      sum.attained += slot.counts.attained;
      sum.missed += slot.counts.missed;
    }
  }
  return sum;
}

}  // namespace slatestall
