#pragma once

#include <CLI/CLI.hpp>

#include "slatestall/exit_code.h"
#include "slatestall/host_reports.h"

namespace slatestall {

// The subcommands of `report`.
void AddReportBurn(CLI::App& report, exit_code& result);
void AddReportCost(CLI::App& report, exit_code& result);

/// @brief Tells which hosts the figures lack, and the exit code for that.
exit_code ShowMissing(const host_reports& reports);

}  // namespace slatestall
