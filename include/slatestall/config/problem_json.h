#pragma once

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "slatestall/config/config_problem.h"

namespace slatestall {

/// @brief A list of {file, line, column, path, message}.
/// @ingroup config
nlohmann::json ProblemsToJson(const std::vector<config_problem>& problems);

/// @throws nlohmann::json::exception where the JSON is no such list.
std::vector<config_problem> ProblemsFromJson(const nlohmann::json& json);

}  // namespace slatestall
