#include <memory>

#include "slatestall/console.h"
#include "slatestall/format_number.h"
#include "slatestall/host_option.h"
#include "slatestall/log_files.h"
#include "slatestall/log_story.h"
#include "slatestall/request_search.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

using nlohmann::json;

struct explain_options {
  std::string host;
  std::string request;
  std::vector<std::string> logs;  ///< Files; "-" is standard input.
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

std::string FieldsText(const json& fields) {
  std::string text;
  for (const auto& [name, value] : fields.items()) {
    text += (text.empty() ? "" : "  ") + name + " " +
            (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

exit_code ExplainFromLogs(const explain_options& options) {
  story_reader reader(options.request);
  if (!ReadLogs(options.logs, [&](std::istream& log) { reader.Read(log); })) {
    return exit_code::kBadInput;
  }
  const auto story = reader.Take();
  if (story.unreadable > 0) {
    PrintError(std::to_string(story.unreadable) +
               " lines are cut short or no JSON; left out");
  }
  if (story.lines.empty()) {
    PrintError(options.request +
               ": not in these logs; one that went well is logged for one "
               "request in sixteen");
    return exit_code::kNegative;
  }
  std::vector<std::vector<std::string>> rows{
      {"AT ms", "HOST", "WHAT", "DETAILS"}};
  json told = json::array();
  for (const auto& line : story.lines) {
    const auto at = line.ms - story.arrived_ms;
    rows.push_back({std::to_string(at), line.host,
                    line.is_own ? line.event : "(" + line.event + ")",
                    FieldsText(line.fields)});
    told.push_back({{"at_ms", at},
                    {"host", line.host},
                    {"event", line.event},
                    {"of_request", line.is_own},
                    {"fields", line.fields}});
  }
  if (options.json) {
    PrintJson(told);
  } else {
    Print(TextTable(rows));
  }
  return exit_code::kOk;
}

exit_code RunExplain(const explain_options& options) {
  if (!options.logs.empty()) {
    return ExplainFromLogs(options);
  }
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
      "host for it, or reads the logs of gateway hosts");
  command
      ->add_option("REQUEST_ID", options->request, "X-Request-Id of the answer")
      ->required()
      ->check(RequestIdProblem);
  AddHostOption(*command, options->host);
  command->get_option("--host")->required(false);
  command->add_option("--logs", options->logs,
                      "Logs of gateway hosts to read in place of asking; - is "
                      "standard input");
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] {
    if (options->host.empty() && options->logs.empty()) {
      throw CLI::RequiredError("--host or --logs");
    }
    result = RunExplain(*options);
  });
}

}  // namespace slatestall
