#pragma once

#include <algorithm>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Lets `rate` events a second through; 0 lets all through.
class token_bucket {
 public:
  explicit token_bucket(double rate) { SetRate(rate); }

  void SetRate(double rate) {
    rate_ = rate;
    level_ = Burst();
  }

  bool Take(time_point now) {
    if (rate_ <= 0) {
      return true;
    }
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    level_ = std::min(Burst(), level_ + passed.count() * rate_);
    if (level_ < 1) {
      return false;
    }
    level_ -= 1;
    return true;
  }

 private:
  // A quarter of a second's worth, so that a limit also shows in short runs.
  double Burst() const { return std::max(1.0, rate_ / 4); }

  double rate_ = 0;
  double level_ = 0;
  time_point last_ = std::chrono::steady_clock::now();
};

}  // namespace slatestall
