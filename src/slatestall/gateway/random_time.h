#pragma once

#include <cstdint>

#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Some time from 0 up to, but not including, the bound, so that hosts
/// do not act all at once.
/// @ingroup gateway
inline milliseconds RandomBelow(milliseconds bound) {
  return milliseconds(RandomBits() % static_cast<std::uint64_t>(bound.count()));
}

}  // namespace slatestall
