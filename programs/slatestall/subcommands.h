#pragma once

#include <CLI/CLI.hpp>

#include "slatestall/exit_code.h"

namespace slatestall {

// Each adds one subcommand, which sets `result` when it has run. Commands
// change the system; queries do not.
void AddApply(CLI::App& app, exit_code& result);
void AddDrain(CLI::App& app, exit_code& result);

void AddCheck(CLI::App& app, exit_code& result);
void AddStatus(CLI::App& app, exit_code& result);
void AddExplain(CLI::App& app, exit_code& result);
void AddLosses(CLI::App& app, exit_code& result);
void AddReport(CLI::App& app, exit_code& result);
void AddReplay(CLI::App& app, exit_code& result);

}  // namespace slatestall
