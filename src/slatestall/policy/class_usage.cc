#include "slatestall/policy/class_usage.h"

#include <algorithm>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr double kUsedTimeMemory = 10;  // Seconds.
constexpr double kPeakMemory = 5;       // Seconds.
constexpr auto kWantMemory = std::chrono::seconds(2);
constexpr double kSlack = 1e-9;

}  // namespace

void class_usage::Start(priority_class priority, time_point now) {
  Advance(now);
  ++in_use_[IndexOf(priority)];
  interactive_peak_ =
      std::max<double>(interactive_peak_, InUse(priority_class::kInteractive));
}

void class_usage::Stop(priority_class priority, time_point now) {
  Advance(now);
  std::uint32_t& count = in_use_[IndexOf(priority)];
  count -= count > 0 ? 1 : 0;
}

void class_usage::Want(priority_class priority, time_point now) {
  wanted_[IndexOf(priority)] = now;
}

void class_usage::Advance(time_point now) {
  const double elapsed = Seconds(now - advanced_);
  if (elapsed <= 0) {
    return;
  }
  const bool first = advanced_ == time_point{};
  advanced_ = now;
  if (first) {
    return;
  }
  const double kept = kUsedTimeMemory / (kUsedTimeMemory + elapsed);
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    used_time_[i] = (used_time_[i] + elapsed * in_use_[i]) * kept;
  }
  const double in_use = InUse(priority_class::kInteractive);
  interactive_peak_ -=
      (interactive_peak_ - in_use) * std::min(1.0, elapsed / kPeakMemory);
}

bool class_usage::BatchBelowFloor(time_point now) {
  Advance(now);
  const double batch = used_time_[IndexOf(priority_class::kBatch)];
  const double both = used_time_[0] + used_time_[1];
  return batch < batch_floor_ * both;
}

bool class_usage::WantedLately(priority_class priority, time_point now) const {
  const time_point wanted = wanted_[IndexOf(priority)];
  return wanted != time_point{} && now - wanted <= kWantMemory;
}

// Batch calls hold a slot for seconds. Were they let into every free slot, a
// burst of shoppers would wait for drafts to end; so as many slots stay free
// as interactive calls used at once lately.
double class_usage::InteractiveReserve(double capacity, time_point now) const {
  if (!reserves_ || !WantedLately(priority_class::kInteractive, now)) {
    return 0;
  }
  const double in_use = InUse(priority_class::kInteractive);
  const double most = capacity * (1 - batch_floor_);
  return std::max(0.0, std::min(interactive_peak_, most) - in_use);
}

bool class_usage::MayStart(priority_class priority, double capacity,
                           time_point now) {
  const bool below_floor = BatchBelowFloor(now);
  const double free = capacity - Total() + kSlack;
  if (priority == priority_class::kBatch) {
    return free >= 1 &&
           (below_floor || free >= 1 + InteractiveReserve(capacity, now));
  }
  const bool batch_is_due =
      below_floor && WantedLately(priority_class::kBatch, now);
  return free >= (batch_is_due ? 2 : 1);
}

}  // namespace slatestall
