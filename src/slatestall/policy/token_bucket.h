#pragma once

#include <array>

#include "slatestall/model/priority_class.h"
#include "slatestall/model/time.h"

namespace slatestall {

inline constexpr std::size_t kPriorityClasses = 2;

inline std::size_t IndexOf(priority_class priority) {
  return static_cast<std::size_t>(priority);
}

/// @brief Token bucket with debt: a charge known only afterwards may take it
/// below zero, and nothing passes until the debt is refilled.
class token_bucket {
 public:
  /// @brief Sets the rate per second; the level is cut to the new burst.
  void SetRate(double rate);
  /// @brief Adds `tokens` and returns what did not fit.
  double Add(double tokens);
  void Charge(double tokens) { level_ -= tokens; }

  double Level() const { return level_; }
  double Rate() const { return rate_; }

 private:
  double rate_ = 0;
  double burst_ = 0;
  double level_ = 0;
  bool fresh_ = true;
};

/// @brief One rate divided over the priority classes. Each class is assured
/// its part; what a class leaves unused flows to the other one.
class class_buckets {
 public:
  explicit class_buckets(double batch_share) : batch_share_(batch_share) {}

  /// @param rate Per second over both classes; 0: no limit.
  void SetRate(double rate, time_point now);
  bool Limited() const { return limited_; }

  /// @brief Whether `tokens` may pass now.
  bool Covers(priority_class priority, double tokens, time_point now);
  void Charge(priority_class priority, double tokens);
  /// @brief Seconds until `tokens` are there if nobody else takes any.
  double SecondsUntil(priority_class priority, double tokens) const;

 private:
  void Refill(time_point now);

  double batch_share_;
  bool limited_ = false;
  time_point refilled_{};
  std::array<token_bucket, kPriorityClasses> buckets_{};
};

}  // namespace slatestall
