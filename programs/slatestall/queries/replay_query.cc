#include <memory>

#include "slatestall/console.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

struct replay_options {
  std::string trace;
  bool json = false;
};

exit_code RunReplay(const replay_options& options) {
  const std::string text = options.trace + ": replay is not built yet";
  if (options.json) {
    PrintJson({{"outcome", "not-built"}, {"detail", text}});
  } else {
    PrintError(text);
  }
  return exit_code::kNotBuilt;
}

}  // namespace

void AddReplay(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<replay_options>();
  CLI::App* command = app.add_subcommand(
      "replay",
      "Replay a recorded trace against its stated outcomes (not "
      "built yet)");
  command->add_option("TRACE", options->trace, "Trace file")->required();
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunReplay(*options); });
}

}  // namespace slatestall
