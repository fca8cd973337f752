#include "slatestall/policy/deadline_budget.h"

#include <algorithm>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

// Times the 99th percentile. Where calls wait, answers are late because of the
// load, and giving them up to start anew would only add to it.
constexpr double kTimeoutFactor = 2;
constexpr double kLoadedTimeoutFactor = 4;
constexpr double kShortestTimeout = 0.2;  // Seconds.

}  // namespace

deadline_budget::deadline_budget(const pipeline_statistics& pipeline,
                                 std::size_t stage, time_point deadline,
                                 priority_class priority)
    : likely_(priority == priority_class::kBatch ? pipeline.HighFrom(stage)
                                                 : pipeline.LikelyFrom(stage)),
      fast_(pipeline.FastFrom(stage)),
      later_(pipeline.MedianFrom(stage + 1)),
      deadline_(deadline) {}

time_point deadline_budget::LatestStart() const {
  return deadline_ - FromSeconds(likely_);
}

time_point deadline_budget::LastChance() const {
  return deadline_ - FromSeconds(fast_);
}

milliseconds deadline_budget::TimeLeft(time_point now) const {
  return std::chrono::duration_cast<milliseconds>(deadline_ - now -
                                                  FromSeconds(later_));
}

milliseconds deadline_budget::AttemptTimeout(const latency_summary& answer,
                                             bool bounded, bool others_wait,
                                             time_point now) const {
  double seconds = Seconds(deadline_ - now) - later_;
  if (bounded && answer.known) {
    const double factor = others_wait ? kLoadedTimeoutFactor : kTimeoutFactor;
    const double usual = std::max(kShortestTimeout, answer.worst * factor);
    seconds = std::min(seconds, usual);
  }
  return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(
                                       std::chrono::duration<double>(seconds)));
}

}  // namespace slatestall
