#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How a call to a service in an outage ends.
enum class outage_form { kError, kClose, kHang };

/// @brief Faults of the platform, set by `POST /faults`.
struct platform_faults {
  bool reads_down = false;
  bool appends_down = false;
  bool list_down = false;
  bool weights_down = false;
  outage_form form = outage_form::kError;
  milliseconds slow{0};                   ///< Added to every log call.
  std::uint32_t lose_append_answers = 0;  ///< The next N take effect unheard.
};

/// @brief Changes the fields named in `change`: "outage" (none, all, reads,
/// appends), "list_down", "weights_down", "form" (error, close, hang),
/// "slow_ms", "lose_append_answers".
/// @throws std::invalid_argument on an unknown field or value.
void ApplyFaultChange(const nlohmann::json& change, platform_faults& faults);

nlohmann::json ToJson(const platform_faults& faults);

}  // namespace slatestall
