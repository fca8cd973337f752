#pragma once

#include <string>

namespace slatestall {

/// @brief `slatestalld gateway`: serves on the users' platform.
/// @param settings_file Empty: the file named by the environment.
/// @param check_only Only checks the settings.
/// @returns the exit status.
int RunGateway(std::string settings_file, bool check_only);

}  // namespace slatestall
