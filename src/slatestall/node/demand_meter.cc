#include "slatestall/node/demand_meter.h"

#include <utility>

namespace slatestall {
namespace {

/// Part of a new sample in the smoothed demand.
constexpr double kNewPart = 0.3;
/// Below this a workspace counts as idle and is forgotten.
constexpr double kIdle = 0.001;

void Smooth(double& value, double sample) {
  value += kNewPart * (sample - value);
}

}  // namespace

void demand_meter::Note(const request_trace& trace) {
  const std::lock_guard lock(mutex_);
  auto& workspace = counts_[trace.workspace];
  if (trace.error == error_kind::kLimitExceeded) {
    ++workspace.refused;
    return;
  }
  ++workspace.admitted;
  workspace.busy_seconds += std::chrono::duration<double>(trace.total).count();
  for (const auto& usage : trace.usages) {
    workspace.tokens += usage.generated_tokens;
  }
}

// Requests refused for the limit are demand too. Were they left out, a share
// that is too small would look sufficient and never grow.
std::map<std::string, workspace_demand> demand_meter::Take(time_point now) {
  std::map<std::string, counts> taken;
  {
    const std::lock_guard lock(mutex_);
    taken.swap(counts_);
  }
  const double span = std::chrono::duration<double>(now - since_).count();
  since_ = now;
  if (span <= 0) {
    return smoothed_;
  }
  for (const auto& [name, seen] : taken) {
    smoothed_[name];
  }
  for (auto& [name, demand] : smoothed_) {
    const auto seen = taken[name];
    const auto all = static_cast<double>(seen.admitted + seen.refused);
    const double scale =
        seen.admitted > 0 ? all / static_cast<double>(seen.admitted) : 1;
    Smooth(demand.requests_per_second, all / span);
    Smooth(demand.tokens_per_second,
           static_cast<double>(seen.tokens) * scale / span);
    Smooth(demand.concurrency, seen.busy_seconds * scale / span);
  }
  auto result = smoothed_;
  std::erase_if(smoothed_, [](const auto& entry) {
    return entry.second.requests_per_second < kIdle;
  });
  return result;
}

}  // namespace slatestall
