#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/policy/replay.h"
#include "slatestall/subcommands.h"

namespace slatestall {

void AddReplay(CLI::App& app, exit_code& result) {
  auto traces = std::make_shared<std::vector<std::string>>();
  CLI::App* command = app.add_subcommand(
      "replay", "Replay traces against their stated outcomes");
  command->add_option("TRACE", *traces, "Trace files")->required();
  command->footer(kExitCodeHelp);
  command->callback([traces, &result] {
    result = static_cast<exit_code>(RunReplay(*traces, std::cout));
  });
}

}  // namespace slatestall
