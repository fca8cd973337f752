#include "slatestall/policy/stage_pool.h"

namespace slatestall {
namespace {

constexpr double kMeanWeight = 0.05;
constexpr auto kCapacityAge = std::chrono::milliseconds(100);
constexpr double kHedgeRoom = 0.8;  // Of the capacity.

}  // namespace

stage_pool::stage_pool(const traffic_policy_options& options)
    : queueing_(options.queueing),
      lending_(options.lending),
      usage_(options.batch_floor, options.class_reserves) {}

void stage_pool::Refresh(const endpoint_set::subset& endpoints,
                         const domain_circuit& circuit, double sharers,
                         time_point now) {
  if (measured_ == time_point{} || now - measured_ >= kCapacityAge) {
    capacity_ = MeasureCapacity(endpoints, circuit, sharers, usage_.Total(),
                                lending_, now);
    measured_ = now;
  }
}

bool stage_pool::HasRoom(priority_class priority, time_point now) {
  if (!queueing_) {
    return true;
  }
  const double capacity = priority == priority_class::kInteractive
                              ? capacity_.interactive
                              : capacity_.nominal;
  return usage_.MayStart(priority, capacity, now);
}

bool stage_pool::HasSpareRoom() const {
  return !queueing_ || (queue_.Empty() &&
                        usage_.Total() + 1 <= capacity_.nominal * kHedgeRoom);
}

// Batch calls below their floor go first; otherwise interactive ones do.
std::optional<priority_class> stage_pool::NextClass(time_point now) {
  const bool batch_waits = queue_.Size(priority_class::kBatch) > 0;
  const bool interactive_waits = queue_.Size(priority_class::kInteractive) > 0;
  if (batch_waits) {
    usage_.Want(priority_class::kBatch, now);
  }
  if (interactive_waits) {
    usage_.Want(priority_class::kInteractive, now);
  }
  if (batch_waits && usage_.BatchBelowFloor(now) &&
      HasRoom(priority_class::kBatch, now)) {
    return priority_class::kBatch;
  }
  if (interactive_waits && HasRoom(priority_class::kInteractive, now)) {
    return priority_class::kInteractive;
  }
  if (batch_waits && HasRoom(priority_class::kBatch, now)) {
    return priority_class::kBatch;
  }
  return std::nullopt;
}

bool stage_pool::MustWaitInLine(priority_class priority, time_point now) {
  return queue_.Size(priority) > 0 || !HasRoom(priority, now);
}

double stage_pool::ExpectedWait(priority_class priority,
                                time_point deadline) const {
  if (!queueing_ || queue_.Empty()) {
    return 0;
  }
  double ahead = queue_.WorkBefore(priority, deadline);
  if (priority == priority_class::kBatch) {
    ahead += queue_.Work(priority_class::kInteractive);
  }
  return ahead / capacity_.nominal;
}

void stage_pool::LearnTime(double seconds) {
  mean_time_ = mean_time_ == 0
                   ? seconds
                   : mean_time_ + (seconds - mean_time_) * kMeanWeight;
}

}  // namespace slatestall
