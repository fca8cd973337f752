#pragma once

#include <cstdint>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Load that an endpoint told with an answer to a call.
/// @ingroup model
struct told_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;  ///< 0: not said.
  time_point at{};          ///< When the answer began to arrive.
};

}  // namespace slatestall
