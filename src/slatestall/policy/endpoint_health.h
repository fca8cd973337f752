#pragma once

#include <cstdint>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Whether one endpoint should get work, judged by its own answers:
/// ejection after failures, a short pause after refusals, and a slow start for
/// an endpoint that is new or returns.
class endpoint_health {
 public:
  void Answered(time_point now);
  void Failed(time_point now);
  /// @brief The endpoint refused without running (busy, or not reachable).
  void Refused(time_point now);
  /// @brief Takes the endpoint out for slowness that answers have shown.
  void EjectAsOutlier(time_point now);
  /// @brief Lets work rise only over some seconds.
  void StartSlowly(time_point now) { returned_ = now; }

  /// @brief Whether enough went wrong to take the endpoint out.
  /// @param repeatable Whether a failed call can be made good elsewhere.
  bool ShouldEject(bool repeatable) const;
  void Eject(time_point now);

  bool Ejected(time_point now) const { return now < ejected_until_; }
  bool Paused(time_point now) const { return now < paused_until_; }

  /// @brief From 0 right after the return up to 1.
  double Ramp(time_point now) const;

 private:
  std::uint32_t failures_in_a_row_ = 0;
  std::uint32_t refusals_in_a_row_ = 0;
  std::uint32_t ejections_ = 0;
  double failure_rate_ = 0;  ///< Fading share of attempts that failed.
  double attempts_ = 0;      ///< Fading count.
  time_point ejected_until_{};
  time_point paused_until_{};
  time_point returned_{};
  time_point failed_{};
};

}  // namespace slatestall
