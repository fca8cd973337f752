#include <memory>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/config/problem_json.h"
#include "slatestall/console.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

struct check_options {
  std::string file;
  bool json = false;
};

std::string SummaryOf(const configuration& content) {
  return std::to_string(content.services.size()) + " services, " +
         std::to_string(content.models.size()) + " models, " +
         std::to_string(content.pipelines.size()) + " pipelines, " +
         std::to_string(content.workspaces.size()) + " workspaces";
}

exit_code RunCheck(const check_options& options) {
  const auto source = ReadFile(options.file);
  if (!source) {
    PrintError(options.file + ": cannot be read");
    return exit_code::kBadInput;
  }
  const parsed_configuration parsed = ParseConfiguration(*source, options.file);
  if (options.json) {
    PrintJson(
        {{"ok", parsed.Ok()}, {"problems", ProblemsToJson(parsed.problems)}});
  } else if (parsed.Ok()) {
    Print(options.file + ": " + SummaryOf(parsed.content));
  } else {
    PrintProblems(parsed.problems);
    const std::size_t count = parsed.problems.size();
    PrintError(options.file + ": " + std::to_string(count) +
               (count == 1 ? " problem" : " problems"));
  }
  return parsed.Ok() ? exit_code::kOk : exit_code::kBadInput;
}

}  // namespace

void AddCheck(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<check_options>();
  CLI::App* command = app.add_subcommand(
      "check", "List every problem of a pipeline file; asks no host");
  command->add_option("FILE", options->file, "Pipeline file")->required();
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunCheck(*options); });
}

}  // namespace slatestall
