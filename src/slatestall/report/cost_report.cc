#include "slatestall/report/cost_report.h"

#include <nlohmann/json.hpp>

namespace slatestall {
namespace {

constexpr const char* kAny = "*";

cost_key GroupOf(const cost_key& key, cost_grouping grouping) {
  switch (grouping) {
    case cost_grouping::kStage:
      return {kAny, key.pipeline, key.stage};
    case cost_grouping::kPipeline:
      return {kAny, key.pipeline, kAny};
    case cost_grouping::kWorkspace:
      return {key.workspace, kAny, kAny};
    case cost_grouping::kAll:
      break;
  }
  return key;
}

cost_row RowOf(const cost_key& key, const cost_by_use& uses) {
  cost_row row;
  row.key = key;
  row.uses = uses;
  row.used = uses[static_cast<std::size_t>(attempt_use::kUsed)];
  row.wasted = Wasted(uses);
  const auto wasted = static_cast<double>(row.wasted.endpoint_time.count());
  const double all =
      wasted + static_cast<double>(row.used.endpoint_time.count());
  row.wasted_share = all == 0 ? 0 : wasted / all;
  return row;
}

nlohmann::json CountsToJson(const cost_counts& counts) {
  return {{"calls", counts.calls},
          {"prompt_tokens", counts.prompt_tokens},
          {"cached_tokens", counts.cached_tokens},
          {"generated_tokens", counts.generated_tokens},
          {"endpoint_ms",
           static_cast<double>(counts.endpoint_time.count()) / 1000}};
}

nlohmann::json UsesToJson(const cost_by_use& uses) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& entry : kAttemptUseNames) {
    json[std::string(entry.name)] =
        CountsToJson(uses[static_cast<std::size_t>(entry.value)]);
  }
  return json;
}

}  // namespace

std::vector<cost_row> CostRows(const report_data& report,
                               cost_grouping grouping) {
  std::map<cost_key, cost_by_use> groups;
  for (const auto& [key, uses] : report.costs) {
    cost_by_use& group = groups[GroupOf(key, grouping)];
    for (std::size_t i = 0; i < kAttemptUses; ++i) {
      group[i] += uses[i];
    }
  }
  std::vector<cost_row> rows;
  rows.reserve(groups.size());
  for (const auto& [key, uses] : groups) {
    rows.push_back(RowOf(key, uses));
  }
  return rows;
}

nlohmann::json CostToJson(const std::vector<cost_row>& rows) {
  nlohmann::json list = nlohmann::json::array();
  for (const cost_row& row : rows) {
    list.push_back({{"workspace", row.key.workspace},
                    {"pipeline", row.key.pipeline},
                    {"stage", row.key.stage},
                    {"uses", UsesToJson(row.uses)},
                    {"wasted", CountsToJson(row.wasted)},
                    {"wasted_share", row.wasted_share}});
  }
  return list;
}

}  // namespace slatestall
