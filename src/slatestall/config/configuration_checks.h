#pragma once

#include "slatestall/config/problem_sink.h"
#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief Checks what no single field can tell: references, duplicates, and
/// which combinations make sense.
void CheckConfiguration(const configuration& content, problem_sink& problems);

}  // namespace slatestall
