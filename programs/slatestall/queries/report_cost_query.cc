#include <memory>

#include "slatestall/console.h"
#include "slatestall/format_number.h"
#include "slatestall/host_option.h"
#include "slatestall/queries/report_query.h"
#include "slatestall/report/cost_report.h"

namespace slatestall {
namespace {

struct cost_options {
  std::vector<std::string> hosts;
  std::string grouping = "stage";
  bool json = false;
};

std::vector<std::string> CellsOf(const cost_row& row) {
  const auto seconds = [](const cost_counts& counts) {
    return FormatNumber(static_cast<double>(counts.endpoint_time.count()) / 1e6,
                        2);
  };
  return {row.key.workspace,
          row.key.pipeline,
          row.key.stage,
          std::to_string(row.used.calls),
          std::to_string(row.used.prompt_tokens),
          std::to_string(row.used.cached_tokens),
          std::to_string(row.used.generated_tokens),
          seconds(row.used),
          std::to_string(row.wasted.calls),
          std::to_string(row.wasted.generated_tokens),
          seconds(row.wasted),
          FormatNumber(row.wasted_share * 100, 1) + "%"};
}

void ShowTable(const std::vector<cost_row>& rows) {
  std::vector<std::vector<std::string>> cells{
      {"WORKSPACE", "PIPELINE", "STAGE", "CALLS", "PROMPT", "CACHED",
       "GENERATED", "ENDPOINT s", "WASTED CALLS", "WASTED TOKENS", "WASTED s",
       "WASTED"}};
  for (const cost_row& row : rows) {
    cells.push_back(CellsOf(row));
  }
  Print(TextTable(cells));
}

exit_code RunCost(const cost_options& options) {
  const host_reports reports = CollectReports(SendOverHttp, options.hosts);
  const std::vector<cost_row> rows =
      CostRows(reports.merged, *ValueIn(kCostGroupingNames, options.grouping));
  if (options.json) {
    PrintJson({{"rows", CostToJson(rows)},
               {"hosts", reports.asked},
               {"missing", reports.missing}});
  } else if (!reports.asked.empty()) {
    ShowTable(rows);
  }
  return ShowMissing(reports);
}

std::vector<std::string> GroupingNames() {
  std::vector<std::string> names;
  for (const auto& entry : kCostGroupingNames) {
    names.emplace_back(entry.name);
  }
  return names;
}

}  // namespace

void AddReportCost(CLI::App& report, exit_code& result) {
  auto options = std::make_shared<cost_options>();
  CLI::App* command = report.add_subcommand(
      "cost",
      "Calls, tokens and endpoint time, with the wasted part (late, "
      "retried, hedged, cancelled) apart");
  AddHostsOption(*command, options->hosts);
  command->add_option("--by", options->grouping, "What a row is")
      ->check(CLI::IsMember(GroupingNames()))
      ->capture_default_str();
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunCost(*options); });
}

}  // namespace slatestall
