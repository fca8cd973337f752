#include "slatestall/report/report_collector.h"

#include <mutex>

#include "slatestall/report/window_ring.h"

namespace slatestall {
namespace {

request_outcome OutcomeOfError(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidRequest:
    case error_kind::kUnauthorized:
    case error_kind::kNotFound:
    case error_kind::kPayloadTooLarge:
    case error_kind::kKeyRequired:
    case error_kind::kKeyReused:
    case error_kind::kKeyExpired:
    case error_kind::kRequestInProgress:
    case error_kind::kLimitExceeded:
    case error_kind::kCancelled:
      return request_outcome::kUncounted;
    case error_kind::kOverloaded:
    case error_kind::kDeadlineUnreachable:
    case error_kind::kDraining:
    case error_kind::kNoConfiguration:
    case error_kind::kNoEndpoint:
    case error_kind::kQuarantined:
    case error_kind::kClaimUnavailable:
      return request_outcome::kRefused;
    case error_kind::kDeadlineExceeded:
      return request_outcome::kLate;
    case error_kind::kOutcomeUnknown:
      return request_outcome::kUnknown;
    case error_kind::kStageFailed:
    case error_kind::kInternal:
      return request_outcome::kFailed;
  }
  return request_outcome::kFailed;
}

struct route_counts {
  double objective = 0;
  latency_histogram latency = MakeLatencyHistogram();
  microseconds latency_total{0};
  std::array<std::uint64_t, kRequestOutcomes> outcomes{};
  std::array<window_ring, kBurnWindows> windows{
      window_ring(kBurnWindowLengths[0]), window_ring(kBurnWindowLengths[1]),
      window_ring(kBurnWindowLengths[2]), window_ring(kBurnWindowLengths[3])};
};

double InMilliseconds(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

route_report ReportOn(const route_counts& counts, time_point now) {
  route_report report;
  report.objective = counts.objective;
  report.latency = counts.latency;
  report.latency_total = counts.latency_total;
  report.outcomes = counts.outcomes;
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    report.windows[i] = counts.windows[i].Sum(now);
  }
  return report;
}

}  // namespace

request_outcome OutcomeOf(const request_record& record) {
  if (record.error) {
    return OutcomeOfError(*record.error);
  }
  return record.latency <= record.deadline ? request_outcome::kAttained
                                           : request_outcome::kLate;
}

// Each traffic thread writes into its own collector, so the mutex is free on
// the hot path but for the moment in which a report is taken.
class report_collector::impl {
 public:
  explicit impl(time_point started) : started_(started) {}

  void RecordRequest(const request_record& record) {
    const request_outcome outcome = OutcomeOf(record);
    const std::lock_guard<std::mutex> lock(mutex_);
    route_counts& counts = routes_[{record.route, record.priority}];
    counts.objective = record.objective;
    ++counts.outcomes[static_cast<std::size_t>(outcome)];
    if (!record.error) {
      counts.latency(InMilliseconds(record.latency));
      counts.latency_total +=
          std::chrono::duration_cast<microseconds>(record.latency);
    }
    if (outcome == request_outcome::kUncounted) {
      return;
    }
    for (window_ring& window : counts.windows) {
      window.Add(record.ended, outcome == request_outcome::kAttained);
    }
  }

  void RecordUsage(const stage_usage& usage) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cost_by_use& cost = costs_[{usage.workspace, usage.pipeline, usage.stage}];
    cost[static_cast<std::size_t>(usage.use)] +=
        cost_counts{1, usage.prompt_tokens, usage.cached_tokens,
                    usage.generated_tokens, usage.endpoint_time};
  }

  report_data Snapshot(time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    report_data report;
    report.collectors = 1;
    report.longest_run =
        std::chrono::duration_cast<milliseconds>(now - started_);
    report.shortest_run = report.longest_run;
    for (const auto& [key, counts] : routes_) {
      report.routes[key] = ReportOn(counts, now);
    }
    report.costs = costs_;
    return report;
  }

 private:
  const time_point started_;
  mutable std::mutex mutex_;
  std::map<route_key, route_counts> routes_;
  std::map<cost_key, cost_by_use> costs_;
};

report_collector::report_collector(time_point started)
    : impl_(std::make_unique<impl>(started)) {}
report_collector::~report_collector() = default;

void report_collector::RecordRequest(const request_record& record) {
  impl_->RecordRequest(record);
}

void report_collector::RecordUsage(const stage_usage& usage) {
  impl_->RecordUsage(usage);
}

report_data report_collector::Snapshot(time_point now) const {
  return impl_->Snapshot(now);
}

}  // namespace slatestall
