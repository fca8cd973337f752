#include "slatestall/report/burn_report.h"

#include <nlohmann/json.hpp>

namespace slatestall {
namespace {

constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

// Share of the counted requests that were attained.
double AttainmentOf(
    const std::array<std::uint64_t, kRequestOutcomes>& outcomes) {
  std::uint64_t counted = 0;
  for (const auto& entry : kRequestOutcomeNames) {
    if (entry.value != request_outcome::kUncounted) {
      counted += outcomes[static_cast<std::size_t>(entry.value)];
    }
  }
  const std::uint64_t attained =
      outcomes[static_cast<std::size_t>(request_outcome::kAttained)];
  return counted == 0
             ? 1
             : static_cast<double>(attained) / static_cast<double>(counted);
}

burn_row RowOf(const route_key& key, const route_report& route,
               std::optional<double> objective) {
  burn_row row;
  row.key = key;
  row.objective = objective.value_or(route.objective);
  row.outcomes = route.outcomes;
  row.attainment = AttainmentOf(route.outcomes);
  row.windows = route.windows;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    row.latency_ms[i] = LatencyQuantile(route.latency, kQuantiles[i]);
  }
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    row.burn[i] = BurnRate(route.windows[i], row.objective);
  }
  return row;
}

nlohmann::json RowToJson(const burn_row& row) {
  nlohmann::json outcomes = nlohmann::json::object();
  for (const auto& entry : kRequestOutcomeNames) {
    outcomes[std::string(entry.name)] =
        row.outcomes[static_cast<std::size_t>(entry.value)];
  }
  nlohmann::json windows = nlohmann::json::array();
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    windows.push_back({{"window", WindowName(i)},
                       {"attained", row.windows[i].attained},
                       {"missed", row.windows[i].missed},
                       {"burn", row.burn[i]}});
  }
  return {{"route", row.key.route},
          {"class", std::string(NameIn(kPriorityClassNames, row.key.priority))},
          {"objective", row.objective},
          {"attainment", row.attainment},
          {"outcomes", outcomes},
          {"latency_ms",
           {{"p50", row.latency_ms[0]},
            {"p95", row.latency_ms[1]},
            {"p99", row.latency_ms[2]}}},
          {"windows", windows}};
}

}  // namespace

std::vector<burn_row> BurnRows(const report_data& report,
                               std::optional<double> objective) {
  std::vector<burn_row> rows;
  rows.reserve(report.routes.size());
  for (const auto& [key, route] : report.routes) {
    rows.push_back(RowOf(key, route, objective));
  }
  return rows;
}

std::string WindowName(std::size_t window) {
  constexpr std::int64_t kHour = 3600;
  constexpr std::int64_t kDay = 24 * kHour;
  const std::int64_t seconds = kBurnWindowLengths.at(window).count();
  if (seconds >= kDay) {
    return std::to_string(seconds / kDay) + "d";
  }
  return seconds >= kHour ? std::to_string(seconds / kHour) + "h"
                          : std::to_string(seconds / 60) + "m";
}

nlohmann::json BurnToJson(const std::vector<burn_row>& rows,
                          const report_data& report) {
  nlohmann::json list = nlohmann::json::array();
  for (const burn_row& row : rows) {
    list.push_back(RowToJson(row));
  }
  return {{"shortest_run_ms", report.shortest_run.count()},
          {"longest_run_ms", report.longest_run.count()},
          {"routes", list}};
}

}  // namespace slatestall
