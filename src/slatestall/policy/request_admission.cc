#include "slatestall/policy/request_admission.h"

#include <algorithm>

#include "slatestall/policy/deadline_budget.h"
#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr double kMeanWeight = 0.1;
constexpr double kUnknownTokenShare = 0.5;  // Of the most a stage may make.
// Admitted at the very edge, half of the calls would be given up later, after
// their first stages have run, and could no longer be told "not run".
constexpr double kWaitMargin = 1.5;
constexpr double kShortestRetryAfter = 0.25;
constexpr double kLongestRetryAfter = 30;

admission Refuse(error_kind kind, double retry_after, std::string reason) {
  admission result;
  result.refusal = kind;
  result.retry_after = ToMilliseconds(retry_after);
  result.reason = std::move(reason);
  return result;
}

}  // namespace

request_admission::request_admission(traffic_state& state)
    : state_(state),
      workspaces_(state.options.lanes, state.options.batch_floor) {}

void request_admission::UseSnapshot(time_point now) {
  workspaces_.UseShares(state_.snapshot->shares, now);
}

admission request_admission::Admit(const admission_request& request,
                                   time_point now) {
  if (state_.snapshot->configuration == nullptr ||
      request.pipeline == nullptr) {
    return Refuse(error_kind::kNoConfiguration, 1, "no configuration in force");
  }
  if (state_.options.early_refusal) {
    admission in_time = CheckDeadline(request, now);
    if (!in_time.admitted) {
      return in_time;
    }
  }
  return workspaces_.Admit(request.workspace, request.pipeline->priority,
                           ExpectedTokens(*request.pipeline), now);
}

// A request that will miss its deadline costs its stages all the same. Refused
// here it has cost nothing, and the answer "not run" is true.
admission request_admission::CheckDeadline(const admission_request& request,
                                           time_point now) {
  const pipeline_config& pipeline = *request.pipeline;
  const pipeline_statistics& statistics = state_.Pipeline(pipeline.name);
  const deadline_budget budget(statistics, 0, request.deadline,
                               pipeline.priority);
  if (now > budget.LastChance()) {
    return Refuse(error_kind::kDeadlineUnreachable, kShortestRetryAfter,
                  "the stages usually take longer than the deadline");
  }
  double wait = 0;
  for (const stage_config& stage : pipeline.stages) {
    service_traffic* service = state_.Service(stage.service);
    if (service != nullptr) {
      const std::string& model = state_.ModelText(stage.model);
      wait += service->Pool(model).ExpectedWait(pipeline.priority,
                                                request.deadline);
    }
  }
  const double late = wait * kWaitMargin - Seconds(budget.LatestStart() - now);
  if (wait > 0 && late > 0) {
    // Spread, so that callers refused together do not come back together.
    const double spread = 0.5 + state_.random.Unit();
    return Refuse(
        error_kind::kOverloaded,
        std::clamp(late * spread, kShortestRetryAfter, kLongestRetryAfter),
        "waiting calls fill the time to the deadline");
  }
  admission in_time;
  in_time.admitted = true;
  return in_time;
}

void request_admission::Release(const request_end& end, time_point now) {
  if (end.pipeline == nullptr) {
    return;
  }
  LearnTokens(end);
  workspaces_.Release(end.workspace, end.pipeline->priority,
                      static_cast<double>(end.generated_tokens), now);
}

double request_admission::ExpectedTokens(
    const pipeline_config& pipeline) const {
  const auto known = mean_tokens_.find(pipeline.name);
  if (known != mean_tokens_.end()) {
    return known->second;
  }
  double most = 0;
  for (const stage_config& stage : pipeline.stages) {
    most += stage.max_tokens;
  }
  return most * kUnknownTokenShare;
}

void request_admission::LearnTokens(const request_end& end) {
  if (!end.answered_in_full) {
    return;
  }
  const auto tokens = static_cast<double>(end.generated_tokens);
  const auto [mean, fresh] =
      mean_tokens_.try_emplace(end.pipeline->name, tokens);
  if (!fresh) {
    mean->second += (tokens - mean->second) * kMeanWeight;
  }
}

}  // namespace slatestall
