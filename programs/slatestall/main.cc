#include <CLI/CLI.hpp>
#include <exception>
#include <string>

#include "slatestall/console.h"
#include "slatestall/exit_code.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

int Run(int argc, char** argv) {
  exit_code result = exit_code::kOk;
  CLI::App app("Operates slatestall: publishes pipeline files and asks hosts.");
  app.set_version_flag("--version", "slatestall " SLATESTALL_VERSION);
  app.require_subcommand(1);
  app.footer(std::string(kProgramHelp) + kExitCodeHelp);
  app.fallthrough(false);
  AddCheck(app, result);
  AddApply(app, result);
  AddStatus(app, result);
  AddExplain(app, result);
  AddLosses(app, result);
  AddDrain(app, result);
  AddReport(app, result);
  AddReplay(app, result);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // Help and version are such "errors" too, with code 0.
    const bool is_help = app.exit(error) == 0;
    return static_cast<int>(is_help ? exit_code::kOk : exit_code::kBadInput);
  }
  return static_cast<int>(result);
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  try {
    return slatestall::Run(argc, argv);
  } catch (const std::exception& error) {
    slatestall::PrintError(error.what());
    return static_cast<int>(slatestall::exit_code::kUnknown);
  }
}
