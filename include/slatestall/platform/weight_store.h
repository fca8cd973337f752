#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What the weight store said of one model version.
/// @ingroup platform
struct weight_result {
  bool ok = false;
  std::uint64_t bytes = 0;
  /// Set where the store was asked too often.
  std::optional<milliseconds> retry_after;
  std::string detail;
};

/// @brief Asks for "MODEL@VERSION"; completions as in `log_service`.
using fetch_weights = std::function<void(
    const std::string& version, std::function<void(weight_result)> done)>;

}  // namespace slatestall
