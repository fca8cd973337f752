#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace slatestall {

/// @brief Adds `--host URL`; another form than http://IP:port is bad input.
void AddHostOption(CLI::App& command, std::string& host);

/// @brief Adds `--host URL...`, one or more.
void AddHostsOption(CLI::App& command, std::vector<std::string>& hosts);

}  // namespace slatestall
