#pragma once

#include <cstddef>
#include <cstdint>

namespace slatestall {

/// @brief SplitMix64. Own code because the distributions of <random> differ
/// between libraries, and a replay must repeat every draw.
class random_generator {
 public:
  explicit random_generator(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9E3779B97F4A7C15U;
    std::uint64_t bits = state_;
    bits = (bits ^ (bits >> 30U)) * 0xBF58476D1CE4E5B9U;
    bits = (bits ^ (bits >> 27U)) * 0x94D049BB133111EBU;
    return bits ^ (bits >> 31U);
  }

  /// @brief Uniform in [0, 1).
  double Unit() {
    constexpr double kStep = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(Next() >> 11U) * kStep;
  }

  /// @brief Uniform in [0, bound); `bound` is not 0.
  std::size_t Below(std::size_t bound) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(bound));
  }

 private:
  std::uint64_t state_;
};

}  // namespace slatestall
