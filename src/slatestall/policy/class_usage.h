#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "slatestall/model/time.h"
#include "slatestall/policy/token_bucket.h"

namespace slatestall {

/// @brief Who uses a capacity that both priority classes share. Interactive
/// calls go first, but batch calls keep a floor share of the time in use, so
/// that neither class starves the other.
class class_usage {
 public:
  /// @param batch_floor Share of the used time that batch calls are assured.
  /// @param reserves Whether batch calls leave slots free for interactive ones.
  explicit class_usage(double batch_floor, bool reserves = true)
      : batch_floor_(batch_floor), reserves_(reserves) {}

  void Start(priority_class priority, time_point now);
  void Stop(priority_class priority, time_point now);
  /// @brief Notes that a call of the class asks for capacity.
  void Want(priority_class priority, time_point now);

  std::uint32_t InUse(priority_class priority) const {
    return in_use_[IndexOf(priority)];
  }
  std::uint32_t Total() const { return in_use_[0] + in_use_[1]; }

  /// @brief Whether batch calls have had less than their floor lately.
  bool BatchBelowFloor(time_point now);

  /// @brief Whether a call of the class may start within `capacity`.
  bool MayStart(priority_class priority, double capacity, time_point now);

 private:
  void Advance(time_point now);
  bool WantedLately(priority_class priority, time_point now) const;
  double InteractiveReserve(double capacity, time_point now) const;

  double batch_floor_;
  bool reserves_;
  time_point advanced_{};
  double interactive_peak_ = 0;  ///< Recent most calls in use, fading.
  std::array<std::uint32_t, kPriorityClasses> in_use_{};
  std::array<double, kPriorityClasses> used_time_{};  ///< Fading seconds.
  std::array<time_point, kPriorityClasses> wanted_{};
};

}  // namespace slatestall
