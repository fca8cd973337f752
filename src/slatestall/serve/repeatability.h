#pragma once

#include <cstddef>

#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief Whether a stage's call must not be sent twice: its service says so,
/// or it generates in a billed pipeline.
bool IsAtMostOnce(const configuration& content, const pipeline_config& pipeline,
                  std::size_t stage);

/// @brief Whether requests to the pipeline need an Idempotency-Key.
bool NeedsKey(const configuration& content, const pipeline_config& pipeline);

}  // namespace slatestall
