#pragma once

#include <cstdint>
#include <string>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What became of the work of one attempt, for cost by stage.
/// @ingroup model
enum class attempt_use { kUsed, kLate, kRetried, kHedged, kCancelled };

/// @brief What one attempt at one stage consumed.
struct stage_usage {
  std::string workspace;
  std::string pipeline;
  std::string stage;
  attempt_use use = attempt_use::kUsed;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t generated_tokens = 0;
  microseconds endpoint_time{0};
};

}  // namespace slatestall
