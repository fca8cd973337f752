#pragma once

#include <cstddef>
#include <string>

#include "slatestall/config/problem_sink.h"
#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief Checks one stage against its service, its model and the stages
/// before it.
void CheckStage(const configuration& content, const pipeline_config& pipeline,
                std::size_t index, const std::string& path,
                problem_sink& problems);

}  // namespace slatestall
