#pragma once

#include <cstdint>
#include <string>

#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Half to one and a half, drawn by name and moment, so that hosts that
/// learn of something together do not act on it together.
/// @ingroup dispatch
inline double SpreadFactor(const std::string& name, time_point now) {
  constexpr std::uint64_t kSteps = 1024;
  const auto seed = static_cast<std::uint64_t>(now.time_since_epoch().count());
  return 0.5 + static_cast<double>(StableHash(name, seed) % kSteps) /
                   static_cast<double>(kSteps);
}

}  // namespace slatestall
