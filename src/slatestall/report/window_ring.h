#pragma once

#include <array>
#include <cstdint>
#include <limits>

#include "slatestall/model/time.h"
#include "slatestall/report/report_data.h"

namespace slatestall {

/// @brief Counts of the last `length`, kept in a fixed number of buckets that
/// are reused as time goes on.
class window_ring {
 public:
  explicit window_ring(duration length);

  void Add(time_point when, bool attained);
  /// @brief Sum over the buckets not older than the window at `now`; exact to
  /// one bucket.
  window_counts Sum(time_point now) const;

 private:
  static constexpr std::size_t kBuckets = 30;

  struct bucket {
    std::int64_t number = std::numeric_limits<std::int64_t>::min();
    window_counts counts;
  };

  std::int64_t NumberAt(time_point when) const;

  duration bucket_length_;
  std::array<bucket, kBuckets> buckets_{};
};

}  // namespace slatestall
