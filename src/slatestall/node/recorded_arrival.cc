#include "slatestall/node/recorded_arrival.h"

#include <algorithm>
#include <cmath>

#include "slatestall/report/report_collector.h"

namespace slatestall {
namespace {

/// Part of a new sample in a stage's usual time.
constexpr double kNewPart = 0.1;

bool WasSeenByPolicy(const request_trace& request) {
  if (request.replayed) {
    return false;
  }
  switch (request.error.value_or(error_kind::kInternal)) {
    case error_kind::kKeyReused:
    case error_kind::kKeyExpired:
    case error_kind::kRequestInProgress:
    case error_kind::kClaimUnavailable:
    case error_kind::kDraining:
    case error_kind::kNoConfiguration:
      return false;
    default:
      return true;
  }
}

std::optional<trace_answer> AnswerOf(const request_trace& request) {
  request_record record;
  record.deadline = request.deadline;
  record.latency = request.total;
  record.error = request.error;
  trace_answer answer{replay_outcome::kFailed, request.total, request.priority};
  switch (OutcomeOf(record)) {
    case request_outcome::kAttained:
      answer.outcome = replay_outcome::kInTime;
      return answer;
    case request_outcome::kLate:
      answer.outcome = replay_outcome::kLate;
      return answer;
    case request_outcome::kRefused:
      answer.outcome = replay_outcome::kRefused;
      return answer;
    case request_outcome::kFailed:
    case request_outcome::kUnknown:
      return answer;
    case request_outcome::kUncounted:
      break;
  }
  // The replay refuses at the limit too; a caller that went away is no
  // outcome of the host.
  if (request.error == error_kind::kLimitExceeded) {
    answer.outcome = replay_outcome::kRefused;
    return answer;
  }
  return std::nullopt;
}

double Milliseconds(microseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

std::optional<trace_arrival> recorded_arrivals::Make(
    const request_trace& request, const configuration& content, duration at) {
  const auto pipeline = content.pipelines.find(request.pipeline);
  if (pipeline == content.pipelines.end() || !WasSeenByPolicy(request)) {
    return std::nullopt;
  }
  trace_arrival arrival;
  arrival.at = at;
  arrival.pipeline = request.pipeline;
  arrival.workspace = request.workspace;
  arrival.deadline = request.deadline;
  for (const stage_config& stage : pipeline->second.stages) {
    arrival.work.push_back(WorkOf(request, stage.name));
  }
  for (const stage_usage& usage : request.usages) {
    arrival.tokens +=
        usage.use == attempt_use::kUsed ? usage.generated_tokens : 0;
  }
  arrival.answer = AnswerOf(request);
  return arrival;
}

// What a stage that did not run to its end would have taken is not known; it
// is taken to be what the stage usually takes, and at least what it took. Were
// it left at zero, a replay would answer every refused request for nothing.
milliseconds recorded_arrivals::WorkOf(const request_trace& request,
                                       const std::string& stage) {
  double& usual = usual_ms_[request.pipeline + "/" + stage];
  double longest = 0;
  for (const stage_usage& usage : request.usages) {
    if (usage.stage != stage) {
      continue;
    }
    const double took = Milliseconds(usage.endpoint_time);
    if (usage.use == attempt_use::kUsed) {
      usual = usual == 0 ? took : usual + kNewPart * (took - usual);
      return milliseconds(std::llround(took));
    }
    longest = std::max(longest, took);
  }
  return milliseconds(std::llround(std::max(usual, longest)));
}

}  // namespace slatestall
