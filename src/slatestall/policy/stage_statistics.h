#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/policy/attempt_budget.h"
#include "slatestall/policy/latency_histogram.h"
#include "slatestall/policy/prompt_time.h"

namespace slatestall {

/// @brief Quantiles of a latency in seconds; all 0 while `known` is false.
struct latency_summary {
  bool known = false;
  double fast = 0;  ///< 10 in 100.
  double median = 0;
  double likely = 0;  ///< 80 in 100.
  double high = 0;    ///< 95 in 100.
  double worst = 0;   ///< 99 in 100.
};

/// @brief A histogram with its quantiles kept ready, because decisions read
/// them far more often than answers change them.
class stage_latency {
 public:
  void Add(duration value, time_point now);
  const latency_summary& Summary() const { return summary_; }

 private:
  void Refresh();

  latency_histogram histogram_;
  latency_summary summary_;
  unsigned unseen_ = 0;
};

/// @brief What was measured of one stage of one pipeline, and the extra
/// attempts it has earned.
struct stage_statistics {
  std::string name;
  std::string service;
  stage_latency answer;      ///< From dispatch to the whole answer.
  stage_latency first_byte;  ///< From dispatch to the first byte.
  stage_latency rest;        ///< From the first byte to the whole answer.
  prompt_time prompt;
  attempt_budget retries;
  attempt_budget hedges;
};

/// @brief The statistics of all stages of one pipeline.
class pipeline_statistics {
 public:
  pipeline_statistics(double retry_share, double hedge_share)
      : retry_share_(retry_share), hedge_share_(hedge_share) {}

  /// @brief The stage at `index` of `pipeline`. Where the pipeline has changed
  /// its stages, those of the same name and service keep what they measured.
  stage_statistics& Stage(const pipeline_config& pipeline, std::size_t index);

  /// @brief The stage at `index`, or null.
  stage_statistics* Find(std::size_t index);

  /// @brief Seconds that the stages from `first` on need at least.
  double FastFrom(std::size_t first) const;
  /// @brief Seconds that they usually need.
  double MedianFrom(std::size_t first) const;
  /// @brief Seconds within which they are likely to be done.
  double LikelyFrom(std::size_t first) const;
  /// @brief Seconds that they rarely exceed.
  double HighFrom(std::size_t first) const;

 private:
  double SumFrom(std::size_t first, double latency_summary::*quantile) const;
  bool Matches(const pipeline_config& pipeline, std::size_t index) const;
  void Reshape(const pipeline_config& pipeline);

  double retry_share_;
  double hedge_share_;
  std::vector<stage_statistics> stages_;
};

}  // namespace slatestall
