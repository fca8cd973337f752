#include "slatestall/report/report_data.h"

#include <algorithm>
#include <cmath>

namespace slatestall {
namespace {

// 12 bins a decade: neighbouring bounds lie 21 % apart, which is finer than
// the spread of a loaded stage and keeps a route under 600 bytes.
constexpr unsigned kLatencyBins = 60;
constexpr double kLatencyFirstMs = 1;
constexpr double kLatencyLastMs = 100000;

void MergeRoute(route_report& into, const route_report& from) {
  into.objective = std::max(into.objective, from.objective);
  into.latency += from.latency;
  into.latency_total += from.latency_total;
  for (std::size_t i = 0; i < kRequestOutcomes; ++i) {
    into.outcomes[i] += from.outcomes[i];
  }
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    into.windows[i].attained += from.windows[i].attained;
    into.windows[i].missed += from.windows[i].missed;
  }
}

void MergeCost(cost_by_use& into, const cost_by_use& from) {
  for (std::size_t i = 0; i < kAttemptUses; ++i) {
    into[i] += from[i];
  }
}

}  // namespace

latency_histogram MakeLatencyHistogram() {
  return boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<std::uint64_t>(),
      latency_axis(kLatencyBins, kLatencyFirstMs, kLatencyLastMs));
}

double LatencyQuantile(const latency_histogram& histogram, double share) {
  const auto& axis = histogram.axis(0);
  std::uint64_t total = 0;
  for (int bin = -1; bin <= axis.size(); ++bin) {
    total += histogram.at(bin);
  }
  if (total == 0) {
    return 0;
  }
  const double wanted = share * static_cast<double>(total);
  double below = 0;
  for (int bin = -1; bin <= axis.size(); ++bin) {
    const auto count = static_cast<double>(histogram.at(bin));
    if (count > 0 && below + count >= wanted) {
      // The outer bins are open on one side; they have one usable bound.
      if (bin < 0) {
        return kLatencyFirstMs;
      }
      if (bin == axis.size()) {
        return kLatencyLastMs;
      }
      return axis.value(bin + (wanted - below) / count);
    }
    below += count;
  }
  return kLatencyLastMs;
}

double BurnRate(const window_counts& counts, double objective) {
  const auto missed = static_cast<double>(counts.missed);
  const double total = missed + static_cast<double>(counts.attained);
  if (total == 0 || objective >= 1) {
    return 0;
  }
  return missed / total / (1 - objective);
}

cost_counts& cost_counts::operator+=(const cost_counts& other) {
  calls += other.calls;
  prompt_tokens += other.prompt_tokens;
  cached_tokens += other.cached_tokens;
  generated_tokens += other.generated_tokens;
  endpoint_time += other.endpoint_time;
  return *this;
}

cost_counts Wasted(const cost_by_use& cost) {
  cost_counts wasted;
  for (std::size_t i = 0; i < kAttemptUses; ++i) {
    if (static_cast<attempt_use>(i) != attempt_use::kUsed) {
      wasted += cost[i];
    }
  }
  return wasted;
}

void report_data::Merge(const report_data& other) {
  if (other.collectors == 0) {
    return;
  }
  shortest_run = collectors == 0 ? other.shortest_run
                                 : std::min(shortest_run, other.shortest_run);
  longest_run = std::max(longest_run, other.longest_run);
  collectors += other.collectors;
  for (const auto& [key, route] : other.routes) {
    MergeRoute(routes[key], route);
  }
  for (const auto& [key, cost] : other.costs) {
    MergeCost(costs[key], cost);
  }
}

}  // namespace slatestall
