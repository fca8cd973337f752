#include "slatestall/policy/endpoint_health.h"

#include <algorithm>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr std::uint32_t kFailuresInARow = 3;
constexpr double kFailureShare = 0.5;
constexpr double kFewestAttempts = 6;
constexpr double kSampleWeight = 0.15;
constexpr double kAttemptFade = 0.95;

constexpr double kFirstEjection = 2;  // Seconds; doubles each time.
constexpr std::uint32_t kMostDoublings = 4;
constexpr double kFirstPause = 0.05;  // Seconds; doubles each time.
constexpr std::uint32_t kMostPauseDoublings = 6;
constexpr auto kForgiveAfter = std::chrono::seconds(60);
constexpr double kRampTime = 5;  // Seconds.

double Doubled(double first, std::uint32_t times, std::uint32_t most) {
  return first * static_cast<double>(1U << std::min(times, most));
}

}  // namespace

void endpoint_health::Answered(time_point now) {
  failures_in_a_row_ = 0;
  refusals_in_a_row_ = 0;
  attempts_ = attempts_ * kAttemptFade + 1;
  failure_rate_ -= failure_rate_ * kSampleWeight;
  if (now - failed_ > kForgiveAfter) {
    ejections_ = 0;
  }
}

void endpoint_health::Failed(time_point now) {
  ++failures_in_a_row_;
  failed_ = now;
  attempts_ = attempts_ * kAttemptFade + 1;
  failure_rate_ += (1 - failure_rate_) * kSampleWeight;
}

// A refusal is either "busy", which passes soon, or "not reachable", which may
// last. Both cost the caller a retry, so the pause doubles while they go on; a
// busy endpoint is asked again in 50 ms, a dead one every few seconds.
void endpoint_health::Refused(time_point now) {
  const double pause =
      Doubled(kFirstPause, refusals_in_a_row_, kMostPauseDoublings);
  ++refusals_in_a_row_;
  paused_until_ = now + FromSeconds(pause);
}

// A failed call that may not be repeated is an unknown outcome for its caller.
// So the endpoint is left alone after the first one, for as long as another one
// is there; a repeatable call costs no more than a retry.
bool endpoint_health::ShouldEject(bool repeatable) const {
  return failures_in_a_row_ >= (repeatable ? kFailuresInARow : 1) ||
         (attempts_ >= kFewestAttempts && failure_rate_ > kFailureShare);
}

void endpoint_health::EjectAsOutlier(time_point now) {
  failed_ = now;
  Eject(now);
}

void endpoint_health::Eject(time_point now) {
  const double span = Doubled(kFirstEjection, ejections_, kMostDoublings);
  ++ejections_;
  // One more failure after the return is enough; a success clears it.
  failures_in_a_row_ = kFailuresInARow - 1;
  failure_rate_ = 0;
  attempts_ = 0;
  ejected_until_ = now + FromSeconds(span);
  returned_ = ejected_until_;
}

double endpoint_health::Ramp(time_point now) const {
  if (returned_ == time_point{}) {
    return 1;
  }
  return std::clamp(Seconds(now - returned_) / kRampTime, 0.0, 1.0);
}

}  // namespace slatestall
