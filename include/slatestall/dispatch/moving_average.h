#pragma once

namespace slatestall {

/// @brief Exponentially weighted mean of what was observed.
/// @ingroup dispatch
class moving_average {
 public:
  /// @param weight Of each new observation, above 0 and at most 1.
  /// @param initial Taken until the first observation.
  explicit moving_average(double weight, double initial = 0)
      : weight_(weight), value_(initial) {}

  void Add(double observed) {
    value_ = seen_ ? value_ + weight_ * (observed - value_) : observed;
    seen_ = true;
  }
  bool Seen() const { return seen_; }
  double Value() const { return value_; }

 private:
  double weight_;
  double value_;
  bool seen_ = false;
};

}  // namespace slatestall
