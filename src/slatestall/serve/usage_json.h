#pragma once

#include <nlohmann/json_fwd.hpp>

#include "slatestall/serve/pipeline_data.h"

namespace slatestall {

/// @brief The member "usage" of an endpoint's answer; zeros where missing.
call_usage UsageMember(const nlohmann::json& answer);

/// @brief Usage as callers are told.
nlohmann::json UsageAsJson(const call_usage& usage);

}  // namespace slatestall
