#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <tuple>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Streaming distribution of a latency from 0.1 ms to 100 s in
/// logarithmic buckets; old samples fade with a half-life.
class latency_histogram {
 public:
  latency_histogram();

  void Add(duration value, time_point now);

  /// @brief Faded number of samples.
  double Count() const { return count_; }

  /// @brief The latency that `share` of the samples stay under, in seconds;
  /// 0 without samples.
  double Quantile(double share) const;

 private:
  void Fade(time_point now);

  using log_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using buckets = boost::histogram::histogram<
      std::tuple<log_axis>,
      boost::histogram::storage_adaptor<std::vector<float>>>;

  buckets buckets_;
  double count_ = 0;
  time_point faded_{};
};

}  // namespace slatestall
