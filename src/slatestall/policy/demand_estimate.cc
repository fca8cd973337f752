#include "slatestall/policy/demand_estimate.h"

#include <set>
#include <utility>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

/// Part of a new sample in the smoothed demand.
constexpr double kNewPart = 0.3;
/// Below this a workspace counts as idle and is forgotten.
constexpr double kIdle = 0.001;

void Smooth(double& value, double sample, double part) {
  value += part * (sample - value);
}

}  // namespace

void demand_estimate::Ended(const std::string& workspace, double busy_seconds,
                            std::uint64_t tokens) {
  counts& seen = counts_[workspace];
  ++seen.admitted;
  seen.busy_seconds += busy_seconds;
  seen.tokens += tokens;
}

void demand_estimate::Refused(const std::string& workspace) {
  ++counts_[workspace].refused;
}

// Requests refused for the limit are demand too. Were they left out, a share
// that is too small would look sufficient and never grow.
std::map<std::string, workspace_demand> demand_estimate::Take(time_point now) {
  std::map<std::string, counts> taken;
  taken.swap(counts_);
  const double span = Seconds(now - since_);
  since_ = now;
  if (span <= 0) {
    return smoothed_;
  }
  std::set<std::string> fresh;
  for (const auto& [name, seen] : taken) {
    if (smoothed_.try_emplace(name).second) {
      fresh.insert(name);
    }
  }
  for (auto& [name, demand] : smoothed_) {
    // Begun at zero, the mean of a workspace that turns busy would need five
    // samples to tell most of its demand, and refuse requests until then.
    const double part = fresh.count(name) > 0 ? 1 : kNewPart;
    const counts seen = taken[name];
    const auto all = static_cast<double>(seen.admitted + seen.refused);
    const double scale =
        seen.admitted > 0 ? all / static_cast<double>(seen.admitted) : 1;
    Smooth(demand.requests_per_second, all / span, part);
    Smooth(demand.tokens_per_second,
           static_cast<double>(seen.tokens) * scale / span, part);
    Smooth(demand.concurrency, seen.busy_seconds * scale / span, part);
  }
  auto result = smoothed_;
  std::erase_if(smoothed_, [](const auto& entry) {
    return entry.second.requests_per_second < kIdle;
  });
  return result;
}

}  // namespace slatestall
