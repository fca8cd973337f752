#pragma once

#include <algorithm>

namespace slatestall {

/// @brief Allows extra attempts as a share of first attempts, so that retries
/// or hedges cannot multiply an overload: with share s, n first attempts pay
/// for at most `kInitial + s * n` extra ones.
class attempt_budget {
 public:
  /// Lets a quiet stage retry before its traffic has paid for it.
  static constexpr double kInitial = 6;

  explicit attempt_budget(double share) : share_(share) {}

  void CountFirstAttempt() {
    // The cap keeps hours of calm from paying for a storm.
    constexpr double kMost = 20;
    level_ = std::min(level_ + share_, std::max(kMost, share_));
  }

  bool Covers() const { return level_ >= 1; }

  bool Take() {
    if (!Covers()) {
      return false;
    }
    level_ -= 1;
    return true;
  }

 private:
  double share_;
  double level_ = kInitial;
};

}  // namespace slatestall
