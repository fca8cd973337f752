#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Sum in which what was added counts less the longer ago it was.
/// @ingroup dispatch
class decaying_sum {
 public:
  /// @param mean_life After which a part of 1/e is left.
  explicit decaying_sum(duration mean_life) : mean_life_(mean_life) {}

  void Add(double value, time_point now) {
    began_ = began_.value_or(now);
    value_ = Value(now) + value;
    at_ = std::max(at_, now);
  }
  double Value(time_point now) const {
    return now <= at_ ? value_ : value_ * std::exp(-Lives(now - at_));
  }
  /// @brief What is added a second. Known soon after the first value: what
  /// would have been there longer is not taken to be missing.
  double Rate(time_point now) const {
    if (!began_) {
      return 0;
    }
    const double seen =
        std::max(kLeastSeen, 1.0 - std::exp(-Lives(now - *began_)));
    return Value(now) /
           (seen * std::chrono::duration<double>(mean_life_).count());
  }

 private:
  /// A rate of less than some tenths of a second would be chance.
  static constexpr double kLeastSeen = 0.2;

  double Lives(duration time) const {
    return std::chrono::duration<double>(time) / mean_life_;
  }

  duration mean_life_;
  double value_ = 0;
  time_point at_{};
  std::optional<time_point> began_;
};

}  // namespace slatestall
