#pragma once

namespace slatestall {

/// @brief What a cached prompt saves of the time to the first byte, measured:
/// the mean of calls sent where the prompt was believed cached against the
/// mean of the others.
class prompt_time {
 public:
  /// @param cached Share of the prompt believed cached at the endpoint.
  void Add(double first_byte, double cached) {
    if (cached == 0) {
      Fold(cold_, first_byte);
    } else if (cached > kMostlyCached) {
      Fold(warm_, first_byte);
    }
  }

  /// @brief Seconds; `otherwise` until both kinds of calls have been seen.
  double Saved(double otherwise) const {
    if (cold_ == 0 || warm_ == 0) {
      return otherwise;
    }
    return cold_ > warm_ ? cold_ - warm_ : 0;
  }

 private:
  static constexpr double kMostlyCached = 0.5;
  static constexpr double kWeight = 0.05;

  static void Fold(double& mean, double value) {
    mean = mean == 0 ? value : mean + (value - mean) * kWeight;
  }

  double cold_ = 0;
  double warm_ = 0;
};

}  // namespace slatestall
