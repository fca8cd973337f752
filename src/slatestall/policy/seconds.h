#pragma once

#include <chrono>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief `span` in seconds, for estimates; decisions compare `duration`s.
inline double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

inline duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

/// @brief Rounded up, so that a wait is never announced too short.
inline milliseconds ToMilliseconds(double seconds) {
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace slatestall
