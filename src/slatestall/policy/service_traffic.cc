#include "slatestall/policy/service_traffic.h"

#include <algorithm>

namespace slatestall {
namespace {

constexpr double kMeanWeight = 0.05;
constexpr auto kCapacityAge = std::chrono::milliseconds(100);
constexpr double kHedgeRoom = 0.8;  // Of the capacity.

// Ejection stops while this share of the endpoints is left: when most look
// broken, the fault is more likely elsewhere, and the rest would be crushed.
constexpr double kLeastLeft = 0.5;
constexpr double kOutlierSlowness = 4;

}  // namespace

service_traffic::service_traffic(const traffic_policy_options& options)
    : queueing_(options.queueing),
      lanes_(std::max(1U, options.lanes)),
      endpoints_(options.host_name),
      choice_(options.routing, options.failure_domain),
      usage_(options.batch_floor) {}

void service_traffic::Update(const service_view& view, std::uint32_t live_hosts,
                             const domain_circuit& circuit, time_point now) {
  repeatable_ = view.config.repeatable;
  sharers_ = lanes_ * std::max(1U, live_hosts);
  endpoints_.Update(view, live_hosts, now);
  capacity_ = MeasureCapacity(endpoints_, circuit, sharers_, now);
  measured_ = now;
}

void service_traffic::RefreshCapacity(const domain_circuit& circuit,
                                      time_point now) {
  if (now - measured_ >= kCapacityAge) {
    capacity_ = MeasureCapacity(endpoints_, circuit, sharers_, now);
    measured_ = now;
  }
}

bool service_traffic::HasRoom(priority_class priority, time_point now) {
  if (!queueing_) {
    return true;
  }
  const double capacity = priority == priority_class::kInteractive
                              ? capacity_.interactive
                              : capacity_.nominal;
  return usage_.MayStart(priority, capacity, now);
}

bool service_traffic::HasSpareRoom(time_point /*now*/) {
  return !queueing_ || (queue_.Empty() &&
                        usage_.Total() + 1 <= capacity_.nominal * kHedgeRoom);
}

// Batch calls below their floor go first; otherwise interactive ones do.
std::optional<priority_class> service_traffic::NextClass(time_point now) {
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

bool service_traffic::MustWaitInLine(priority_class priority, time_point now) {
  return queue_.Size(priority) > 0 || !HasRoom(priority, now);
}

double service_traffic::ExpectedWait(priority_class priority) const {
  if (!queueing_ || queue_.Empty()) {
    return 0;
  }
  double ahead = queue_.Work(priority);
  if (priority == priority_class::kBatch) {
    ahead += queue_.Work(priority_class::kInteractive);
  }
  return ahead / capacity_.nominal;
}

void service_traffic::LearnTime(double seconds) {
  mean_time_ = mean_time_ == 0
                   ? seconds
                   : mean_time_ + (seconds - mean_time_) * kMeanWeight;
}

void service_traffic::JudgeHealth(endpoint_state& state, time_point now) {
  if (state.Health().Ejected(now) || !MayEjectOneMore(now)) {
    return;
  }
  if (state.Health().ShouldEject()) {
    state.Health().Eject(now);
  } else if (state.LearnedSlowness() > kOutlierSlowness) {
    state.EjectAsOutlier(now);
  }
}

bool service_traffic::MayEjectOneMore(time_point now) const {
  const auto& listed = endpoints_.Listed();
  const auto left = static_cast<double>(std::count_if(
      listed.begin(), listed.end(),
      [&](const auto* state) { return !state->Health().Ejected(now); }));
  return left - 1 >= kLeastLeft * static_cast<double>(listed.size());
}

}  // namespace slatestall
