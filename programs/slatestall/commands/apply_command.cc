#include <chrono>
#include <memory>
#include <thread>

#include "slatestall/commands/apply.h"
#include "slatestall/config/problem_json.h"
#include "slatestall/console.h"
#include "slatestall/host_option.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

struct apply_options {
  std::string file;
  std::string host;
  config_revision base = 0;
  CLI::Option* base_option = nullptr;
  int wait_seconds = 30;
  bool json = false;
};

constexpr int kLongestWaitSeconds = 3600;

exit_code ExitCodeOf(apply_outcome outcome) {
  switch (outcome) {
    case apply_outcome::kInForce:
      return exit_code::kOk;
    case apply_outcome::kRefused:
    case apply_outcome::kNotPublished:
      return exit_code::kNegative;
    case apply_outcome::kInvalid:
      return exit_code::kBadInput;
    case apply_outcome::kUnknown:
      return exit_code::kUnknown;
    case apply_outcome::kUnreachable:
      return exit_code::kUnreachable;
  }
  return exit_code::kUnknown;
}

apply_hooks HooksOfProgram() {
  apply_hooks hooks;
  hooks.send = SendOverHttp;
  hooks.sleep = [](milliseconds time) { std::this_thread::sleep_for(time); };
  hooks.now = [] { return std::chrono::steady_clock::now(); };
  hooks.progress = ShowProgress;
  return hooks;
}

nlohmann::json JsonOf(const apply_result& result) {
  nlohmann::json waiting = nlohmann::json::array();
  for (const host_view& host : result.waiting_for) {
    waiting.push_back({{"name", host.name},
                       {"revision", host.revision},
                       {"reachable", host.reachable}});
  }
  return {{"outcome", std::string(NameIn(kApplyOutcomeNames, result.outcome))},
          {"revision", result.revision},
          {"detail", result.detail},
          {"problems", ProblemsToJson(result.problems)},
          {"waiting_for", waiting}};
}

void Show(const apply_options& options, const apply_result& result) {
  if (options.json) {
    PrintJson(JsonOf(result));
    return;
  }
  PrintProblems(result.problems);
  if (result.outcome == apply_outcome::kInForce) {
    Print("revision " + std::to_string(result.revision) + ": " + result.detail);
    return;
  }
  PrintError(std::string(NameIn(kApplyOutcomeNames, result.outcome)) + ": " +
             result.detail);
}

exit_code RunApply(const apply_options& options) {
  const auto source = ReadFile(options.file);
  if (!source) {
    PrintError(options.file + ": cannot be read");
    return exit_code::kBadInput;
  }
  apply_request request;
  request.host = options.host;
  request.file = options.file;
  request.source = *source;
  if (options.base_option->count() > 0) {
    request.base = options.base;
  }
  request.wait = std::chrono::seconds(options.wait_seconds);
  const apply_result result = Apply(request, HooksOfProgram());
  EndProgress();
  Show(options, result);
  return ExitCodeOf(result.outcome);
}

}  // namespace

void AddApply(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<apply_options>();
  CLI::App* command = app.add_subcommand(
      "apply",
      "Publish a pipeline file; returns when it is in force on every "
      "live host, refused, or unknown");
  command->add_option("FILE", options->file, "Pipeline file")->required();
  AddHostOption(*command, options->host);
  options->base_option = command->add_option(
      "--base", options->base,
      "Revision the file was made from; without it the one in force now");
  command
      ->add_option("--wait", options->wait_seconds,
                   "Seconds to wait for all live hosts")
      ->check(CLI::Range(1, kLongestWaitSeconds))
      ->capture_default_str();
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunApply(*options); });
}

}  // namespace slatestall
