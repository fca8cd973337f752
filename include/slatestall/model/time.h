#pragma once

#include <chrono>
#include <functional>

namespace slatestall {

/// @brief Monotonic time; never wall-clock time, so that a clock step on a
/// host cannot lengthen a lease or shorten a deadline.
/// @ingroup model
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// @brief The duration cut to whole milliseconds.
inline milliseconds WholeMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

/// @brief The duration times a factor.
inline duration Scaled(duration value, double factor) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

/// @brief Source of the current time; replay passes the clock of its trace.
using now_function = std::function<time_point()>;

}  // namespace slatestall
