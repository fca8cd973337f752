#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "slatestall/console.h"
#include "slatestall/policy/replay.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

using nlohmann::json;

struct replay_options {
  std::vector<std::string> traces;
  bool json = false;
};

/// What a replay of one file found, and its exit code.
struct replayed_file {
  json told;
  exit_code code = exit_code::kOk;
};

replayed_file ReplayToJson(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return {{{"file", path}, {"error", "cannot be opened"}},
            exit_code::kBadInput};
  }
  try {
    const trace read = ReadTrace(in);
    const replay_result result = Replay(read, {});
    const std::string difference = FirstDifference(read, result);
    return {{{"file", path},
             {"name", read.name},
             {"measures", result.Measures()},
             {"decisions", result.decisions},
             {"as_stated", difference.empty()},
             {"difference", difference}},
            difference.empty() ? exit_code::kOk : exit_code::kNegative};
  } catch (const trace_error& problem) {
    return {{{"file", path}, {"error", problem.what()}}, exit_code::kBadInput};
  }
}

exit_code RunReplays(const replay_options& options) {
  if (!options.json) {
    return static_cast<exit_code>(RunReplay(options.traces, std::cout));
  }
  json all = json::array();
  exit_code worst = exit_code::kOk;
  for (const std::string& path : options.traces) {
    ShowProgress("replaying " + path);
    replayed_file one = ReplayToJson(path);
    worst = std::max(worst, one.code);
    all.push_back(std::move(one.told));
  }
  EndProgress();
  PrintJson(all);
  return worst;
}

}  // namespace

void AddReplay(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<replay_options>();
  CLI::App* command = app.add_subcommand(
      "replay",
      "Replay traces against their stated outcomes; also those that a host "
      "recorded (slatestalld --record FILE)");
  command->add_option("TRACE", options->traces, "Trace files")->required();
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunReplays(*options); });
}

}  // namespace slatestall
