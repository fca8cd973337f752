#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How promptly a thread's event loop runs, by how late its regular
/// tick comes, and the processor time it has used. Written by that thread,
/// read from any.
class loop_gauge {
 public:
  /// @brief A tick that was due at `due` runs at `now`; call on the thread
  /// itself.
  void Ticked(time_point due, time_point now);

  /// @brief Lines for /metrics.
  /// @param name Of the thread, e.g. "control".
  std::string Metrics(const std::string& name) const;

  microseconds LastDelay() const { return microseconds(last_.load()); }
  microseconds LongestDelay() const { return microseconds(longest_.load()); }
  std::uint64_t LateTicks() const { return late_.load(); }

 private:
  std::atomic<std::int64_t> last_{0};  ///< Microseconds, as the two below.
  std::atomic<std::int64_t> longest_{0};
  std::atomic<std::int64_t> cpu_{0};
  std::atomic<std::uint64_t> late_{0};
};

}  // namespace slatestall
