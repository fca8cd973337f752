#include "slatestall/gateway/gateway_metrics.h"

#include <boost/histogram.hpp>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

namespace slatestall {
namespace {

constexpr const char* kPrefix = "slatestall_gateway_";
/// Seconds. From a fast answer of a plain service to the longest deadlines.
const std::vector<double> kBounds = {0.005, 0.01, 0.025, 0.05, 0.1,
                                     0.2,   0.3,  0.5,   0.75, 1.0,
                                     1.5,   2.5,  5.0,   10.0, 20.0};

using series_key = std::pair<std::string, std::string>;  ///< Name, label.

auto MakeHistogram() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(kBounds));
}
using latency_series = decltype(MakeHistogram());

std::string SeriesName(const series_key& key, const char* suffix) {
  std::string name = kPrefix + key.first + suffix;
  if (!key.second.empty()) {
    name += "{of=\"" + key.second + "\"}";
  }
  return name;
}

struct timed_series {
  latency_series counts = MakeHistogram();
  double sum = 0;
  std::uint64_t count = 0;
};

void AppendHistogram(std::ostringstream& text, const series_key& key,
                     const timed_series& series) {
  std::uint64_t below = 0;
  int cell = -1;  // The one below the first bound belongs to the first bucket.
  for (const double bound : kBounds) {
    below += static_cast<std::uint64_t>(series.counts.at(cell++));
    text << kPrefix << key.first << "_seconds_bucket{of=\"" << key.second
         << "\",le=\"" << bound << "\"} " << below << "\n";
  }
  text << kPrefix << key.first << "_seconds_bucket{of=\"" << key.second
       << "\",le=\"+Inf\"} " << series.count << "\n"
       << SeriesName(key, "_seconds_sum") << " " << series.sum << "\n"
       << SeriesName(key, "_seconds_count") << " " << series.count << "\n";
}

}  // namespace

class gateway_metrics::impl {
 public:
  std::mutex mutex;
  std::map<series_key, std::uint64_t> counters;
  std::map<series_key, double> gauges;
  std::map<series_key, timed_series> timings;
};

gateway_metrics::gateway_metrics() : impl_(std::make_unique<impl>()) {}
gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::Count(std::string_view name, std::string_view label,
                            std::uint64_t more) {
  const std::lock_guard lock(impl_->mutex);
  impl_->counters[{std::string(name), std::string(label)}] += more;
}

void gateway_metrics::SetGauge(std::string_view name, std::string_view label,
                               double value) {
  const std::lock_guard lock(impl_->mutex);
  impl_->gauges[{std::string(name), std::string(label)}] = value;
}

void gateway_metrics::Observe(std::string_view name, std::string_view label,
                              duration value) {
  const double seconds = std::chrono::duration<double>(value).count();
  const std::lock_guard lock(impl_->mutex);
  auto& series = impl_->timings[{std::string(name), std::string(label)}];
  series.counts(seconds);
  series.sum += seconds;
  ++series.count;
}

std::string gateway_metrics::Text() const {
  std::ostringstream text;
  const std::lock_guard lock(impl_->mutex);
  for (const auto& [key, value] : impl_->counters) {
    text << SeriesName(key, "_total") << " " << value << "\n";
  }
  for (const auto& [key, value] : impl_->gauges) {
    text << SeriesName(key, "") << " " << value << "\n";
  }
  for (const auto& [key, series] : impl_->timings) {
    AppendHistogram(text, key, series);
  }
  return text.str();
}

}  // namespace slatestall
