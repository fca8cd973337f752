#pragma once

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "slatestall/model/name_table.h"
#include "slatestall/model/priority_class.h"
#include "slatestall/model/stage_usage.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How a request counts towards the service level.
/// @ingroup report
enum class request_outcome {
  kAttained,   ///< Answered in full within its deadline.
  kLate,       ///< Not whole when its deadline passed.
  kRefused,    ///< Not run: no capacity, endpoint or claim.
  kFailed,     ///< A stage or the host failed; it may have run.
  kUnknown,    ///< May have run; the outcome is not known.
  kUncounted,  ///< The caller's doing: bad input, own limit, cancelled.
};

inline constexpr std::size_t kRequestOutcomes = 6;
inline constexpr name_table<request_outcome, kRequestOutcomes>
    kRequestOutcomeNames{{
        {request_outcome::kAttained, "attained"},
        {request_outcome::kLate, "late"},
        {request_outcome::kRefused, "refused"},
        {request_outcome::kFailed, "failed"},
        {request_outcome::kUnknown, "unknown"},
        {request_outcome::kUncounted, "uncounted"},
    }};

inline constexpr std::size_t kAttemptUses = 5;
inline constexpr name_table<attempt_use, kAttemptUses> kAttemptUseNames{{
    {attempt_use::kUsed, "used"},
    {attempt_use::kLate, "late"},
    {attempt_use::kRetried, "retried"},
    {attempt_use::kHedged, "hedged"},
    {attempt_use::kCancelled, "cancelled"},
}};

/// Windows over which the error budget's burn is told.
inline constexpr std::size_t kBurnWindows = 4;
inline constexpr std::array<std::chrono::seconds, kBurnWindows>
    kBurnWindowLengths{std::chrono::minutes(5), std::chrono::hours(1),
                       std::chrono::hours(6), std::chrono::hours(72)};

using latency_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using latency_histogram =
    boost::histogram::histogram<std::tuple<latency_axis>,
                                boost::histogram::dense_storage<std::uint64_t>>;

/// @brief An empty histogram of latencies in milliseconds; all have the same
/// bins, so any two can be added.
latency_histogram MakeLatencyHistogram();

/// @brief Latency in milliseconds below which `share` of the values lie,
/// interpolated inside a bin; 0 for an empty histogram.
double LatencyQuantile(const latency_histogram& histogram, double share);

/// @brief Requests of one window that count.
struct window_counts {
  std::uint64_t attained = 0;
  std::uint64_t missed = 0;

  friend bool operator==(const window_counts&, const window_counts&) = default;
};

/// @brief How fast the error budget is spent: 1 spends it exactly over the
/// period of the objective. 0 without requests.
double BurnRate(const window_counts& counts, double objective);

/// @brief What the requests to one route of one class are kept under.
struct route_key {
  std::string route;  ///< Pipeline or plain service.
  priority_class priority = priority_class::kInteractive;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang-tidy 14.
  friend auto operator<=>(const route_key&, const route_key&) = default;
};

struct route_report {
  double objective = 0;  ///< Share of requests to be attained.
  latency_histogram latency = MakeLatencyHistogram();  ///< Whole answers.
  microseconds latency_total{0};                       ///< Sum of the same.
  std::array<std::uint64_t, kRequestOutcomes> outcomes{};
  std::array<window_counts, kBurnWindows> windows{};
};

struct cost_key {
  std::string workspace;
  std::string pipeline;
  std::string stage;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang-tidy 14.
  friend auto operator<=>(const cost_key&, const cost_key&) = default;
};

/// @brief What attempts consumed.
struct cost_counts {
  std::uint64_t calls = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t generated_tokens = 0;
  microseconds endpoint_time{0};

  cost_counts& operator+=(const cost_counts& other);
  friend bool operator==(const cost_counts&, const cost_counts&) = default;
};

/// @brief Counts by `attempt_use`; all but `kUsed` were wasted.
using cost_by_use = std::array<cost_counts, kAttemptUses>;

/// @brief Sum of the uses that were wasted.
cost_counts Wasted(const cost_by_use& cost);

/// @brief Counts of one or more collectors; any two can be merged.
struct report_data {
  std::uint32_t collectors = 0;
  /// How long the youngest and the oldest collector have counted. A window
  /// longer than that is not covered whole: hosts keep nothing.
  milliseconds shortest_run{0};
  milliseconds longest_run{0};
  std::map<route_key, route_report> routes;
  std::map<cost_key, cost_by_use> costs;

  /// @brief Adds the counts of `other`. Order and grouping do not matter.
  void Merge(const report_data& other);
};

}  // namespace slatestall
