#include "slatestall/queries/report_query.h"

#include "slatestall/console.h"
#include "slatestall/subcommands.h"

namespace slatestall {

exit_code ShowMissing(const host_reports& reports) {
  for (const std::string& missing : reports.missing) {
    PrintError("not in the figures: " + missing);
  }
  return reports.missing.empty() ? exit_code::kOk : exit_code::kUnreachable;
}

void AddReport(CLI::App& app, exit_code& result) {
  CLI::App* report =
      app.add_subcommand("report", "Figures of all hosts together: burn, cost");
  report->require_subcommand(1);
  report->footer(kExitCodeHelp);
  AddReportBurn(*report, result);
  AddReportCost(*report, result);
}

}  // namespace slatestall
