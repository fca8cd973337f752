#include <memory>

#include "slatestall/console.h"
#include "slatestall/format_number.h"
#include "slatestall/host_option.h"
#include "slatestall/request_search.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

using nlohmann::json;

struct explain_options {
  std::string host;
  std::string request;
  bool json = false;
};

std::string Milliseconds(const json& value) {
  return FormatNumber(value.is_number() ? value.get<double>() : 0.0, 1);
}

std::string DecisionTable(const json& decisions) {
  std::vector<std::vector<std::string>> rows{
      {"AT ms", "STAGE", "WHAT", "ENDPOINT", "REASON"}};
  for (const json& each : decisions) {
    rows.push_back({Milliseconds(each.value("at_ms", json())),
                    each.value("stage", ""), each.value("what", ""),
                    each.value("endpoint", ""), each.value("reason", "")});
  }
  return TextTable(rows);
}

std::string Headline(const json& trace) {
  const std::string end = trace.value("answered_in_full", false)
                              ? "answered in full"
                              : trace.value("error", "not answered") +
                                    ", ran: " + trace.value("ran", "?");
  return trace.value("request_id", "") + "  " + trace.value("workspace", "") +
         "/" + trace.value("pipeline", "") + "  " + end + "  " +
         Milliseconds(trace.value("total_ms", json())) + " of " +
         Milliseconds(trace.value("deadline_ms", json())) + " ms";
}

exit_code RunExplain(const explain_options& options) {
  const request_search search =
      FindRequest(SendOverHttp, options.host, options.request);
  if (!search.trace) {
    for (const std::string& line : DescribeMiss(search, options.request)) {
      PrintError(line);
    }
    return search.not_asked.empty() ? exit_code::kNegative
                                    : exit_code::kUnreachable;
  }
  if (options.json) {
    PrintJson(*search.trace);
    return exit_code::kOk;
  }
  Print(Headline(*search.trace));
  Print(DecisionTable(search.trace->value("decisions", json::array())));
  return exit_code::kOk;
}

// CLI11 shows what this returns; an empty text means that the value is fine.
std::string RequestIdProblem(const std::string& text) {
  for (const char c : text) {
    const bool fits = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                      (c >= '0' && c <= '9') || c == '.' || c == '-' ||
                      c == '_';
    if (!fits) {
      return "'" + text + "' is no request id";
    }
  }
  return "";
}

}  // namespace

void AddExplain(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<explain_options>();
  CLI::App* command = app.add_subcommand(
      "explain",
      "Show every decision taken for a recent request, and why; asks every "
      "host for it");
  command
      ->add_option("REQUEST_ID", options->request, "X-Request-Id of the answer")
      ->required()
      ->check(RequestIdProblem);
  AddHostOption(*command, options->host);
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunExplain(*options); });
}

}  // namespace slatestall
