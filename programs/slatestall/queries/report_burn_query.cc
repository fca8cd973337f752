#include <fstream>
#include <memory>
#include <optional>

#include "slatestall/console.h"
#include "slatestall/format_number.h"
#include "slatestall/host_option.h"
#include "slatestall/queries/report_query.h"
#include "slatestall/report/burn_report.h"

namespace slatestall {
namespace {

struct burn_options {
  std::vector<std::string> hosts;
  double objective = 0;
  CLI::Option* objective_option = nullptr;
  std::string svg;
  std::string html;
  bool json = false;
};

constexpr double kLeastObjective = 0.5;
constexpr double kMostObjective = 0.99999;

std::vector<std::string> Headings() {
  std::vector<std::string> headings{"ROUTE", "CLASS", "OBJECTIVE", "ATTAINED"};
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    headings.push_back("BURN " + WindowName(i));
  }
  for (const auto& entry : kRequestOutcomeNames) {
    headings.emplace_back(entry.name);
  }
  headings.insert(headings.end(), {"p50 ms", "p95 ms", "p99 ms"});
  return headings;
}

std::vector<std::string> CellsOf(const burn_row& row) {
  std::vector<std::string> cells{
      row.key.route, std::string(NameIn(kPriorityClassNames, row.key.priority)),
      FormatNumber(row.objective * 100, 3) + "%",
      FormatNumber(row.attainment * 100, 3) + "%"};
  for (const double burn : row.burn) {
    cells.push_back(FormatNumber(burn, 2));
  }
  for (const std::uint64_t count : row.outcomes) {
    cells.push_back(std::to_string(count));
  }
  for (const double latency : row.latency_ms) {
    cells.push_back(FormatNumber(latency, 0));
  }
  return cells;
}

void ShowTable(const std::vector<burn_row>& rows, const report_data& report) {
  std::vector<std::vector<std::string>> cells{Headings()};
  for (const burn_row& row : rows) {
    cells.push_back(CellsOf(row));
  }
  Print(TextTable(cells));
  Print("Burn rate 1 spends the error budget exactly. Counted for " +
        ShortDuration(report.shortest_run) + " (youngest host) to " +
        ShortDuration(report.longest_run) +
        " (oldest): longer windows are not covered whole.");
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return true;
  }
  std::ofstream stream(path, std::ios::binary);
  stream << text;
  stream.close();
  if (stream.fail()) {
    PrintError(path + ": cannot be written");
    return false;
  }
  return true;
}

exit_code RunBurn(const burn_options& options) {
  const host_reports reports = CollectReports(SendOverHttp, options.hosts);
  std::optional<double> objective;
  if (options.objective_option->count() > 0) {
    objective = options.objective;
  }
  const std::vector<burn_row> rows = BurnRows(reports.merged, objective);
  if (options.json) {
    nlohmann::json json = BurnToJson(rows, reports.merged);
    json["hosts"] = reports.asked;
    json["missing"] = reports.missing;
    PrintJson(json);
  } else if (!reports.asked.empty()) {
    ShowTable(rows, reports.merged);
  }
  const exit_code code = ShowMissing(reports);
  const bool written = WriteFile(options.svg, BurnSvg(rows)) &&
                       WriteFile(options.html, BurnHtml(rows, reports.merged));
  return written ? code : exit_code::kBadInput;
}

}  // namespace

void AddReportBurn(CLI::App& report, exit_code& result) {
  auto options = std::make_shared<burn_options>();
  CLI::App* command = report.add_subcommand(
      "burn",
      "Attainment by pipeline and class, and how fast the error "
      "budget is spent");
  AddHostsOption(*command, options->hosts);
  options->objective_option =
      command
          ->add_option("--objective", options->objective,
                       "Objective in place of what the pipelines say")
          ->check(CLI::Range(kLeastObjective, kMostObjective));
  command->add_option("--svg", options->svg, "Write a picture to this file");
  command->add_option("--html", options->html, "Write a page to this file");
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunBurn(*options); });
}

}  // namespace slatestall
