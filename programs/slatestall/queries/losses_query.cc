#include <algorithm>
#include <memory>

#include "slatestall/console.h"
#include "slatestall/log_files.h"
#include "slatestall/loss_report.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

using nlohmann::json;

struct losses_options {
  std::vector<std::string> logs;  ///< Files; "-" is standard input.
  std::int64_t span_seconds = 0;
  bool json = false;
};

json AsJson(const loss_report& report) {
  json rows = json::array();
  for (const auto& row : report.rows) {
    rows.push_back({{"from_second", row.from_second},
                    {"route", row.route},
                    {"kind", NameOf(row.kind)},
                    {"cause", row.cause},
                    {"requests", row.requests}});
  }
  return {{"losses", std::move(rows)},
          {"in_time", report.in_time},
          {"dropped_lines", report.dropped}};
}

/// The largest first, within a span.
std::string AsTable(loss_report report) {
  std::stable_sort(report.rows.begin(), report.rows.end(),
                   [](const loss_row& a, const loss_row& b) {
                     return a.from_second != b.from_second
                                ? a.from_second < b.from_second
                                : a.requests > b.requests;
                   });
  std::vector<std::vector<std::string>> rows{
      {"FROM s", "REQUESTS", "ROUTE", "WHAT", "CAUSE"}};
  for (const auto& row : report.rows) {
    rows.push_back({std::to_string(row.from_second),
                    std::to_string(row.requests), row.route,
                    std::string(NameOf(row.kind)), row.cause});
  }
  return TextTable(rows) +
         "in time, by sample: " + std::to_string(report.in_time);
}

exit_code RunLosses(const losses_options& options) {
  loss_reader reader(options.span_seconds);
  if (!ReadLogs(options.logs, [&](std::istream& log) { reader.Read(log); })) {
    return exit_code::kBadInput;
  }
  const auto report = reader.Take();
  if (report.unreadable > 0) {
    PrintError(std::to_string(report.unreadable) +
               " lines are cut short or no JSON; left out");
  }
  if (report.dropped > 0) {
    PrintError("hosts left out " + std::to_string(report.dropped) +
               " lines under load: the counts are too low by up to as many");
  }
  if (options.json) {
    PrintJson(AsJson(report));
  } else {
    Print(AsTable(report));
  }
  return exit_code::kOk;
}

}  // namespace

void AddLosses(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<losses_options>();
  CLI::App* command = app.add_subcommand(
      "losses", "Where requests were late, refused or failed, and why");
  command
      ->add_option("--logs", options->logs,
                   "Logs of gateway hosts; - is standard input")
      ->required();
  command
      ->add_option("--span", options->span_seconds,
                   "Seconds of a row; 0: all in one")
      ->check(CLI::Range(0, 86400));
  command->add_flag("--json", options->json, "Print JSON");
  command->callback([options, &result] { result = RunLosses(*options); });
}

}  // namespace slatestall
