#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Counters, gauges and latency histograms of one host, by name and one
/// label; any thread may use them.
/// @ingroup gateway
class gateway_metrics {
 public:
  gateway_metrics();
  ~gateway_metrics();
  gateway_metrics(const gateway_metrics&) = delete;
  gateway_metrics& operator=(const gateway_metrics&) = delete;

  /// @param name Without the common prefix and the suffix "_total".
  void Count(std::string_view name, std::string_view label,
             std::uint64_t more = 1);
  void SetGauge(std::string_view name, std::string_view label, double value);
  void Observe(std::string_view name, std::string_view label, duration value);

  /// @brief All of it as Prometheus text.
  std::string Text() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
