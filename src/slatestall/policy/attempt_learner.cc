#include "slatestall/policy/attempt_learner.h"

#include <algorithm>

#include "slatestall/policy/seconds.h"

namespace slatestall {

void attempt_learner::Ended(const attempt_report& report, time_point now) {
  service_traffic* service = state_.Service(report.service);
  endpoint_state* endpoint =
      service == nullptr ? nullptr : service->Endpoints().Find(report.address);
  if (endpoint == nullptr) {
    return;
  }
  const call_in_flight call = endpoint->Stop(report);
  if (call.sent == time_point{}) {
    return;
  }
  service->Pool(call.model).Usage().Stop(call.priority, now);
  if (report.said_leaving) {
    endpoint->SaidLeaving(now);
  }
  Learn(*service, *endpoint, call, report, now);
  service->JudgeHealth(*endpoint, report.at_most_once, now);
}

void attempt_learner::Learn(service_traffic& service, endpoint_state& endpoint,
                            const call_in_flight& call,
                            const attempt_report& report, time_point now) {
  const double total = Seconds(report.total);
  endpoint_health& health = endpoint.Health();
  stage_statistics* statistics =
      state_.Pipeline(call.pipeline).Find(call.stage);
  const bool overdue = total >= call.overdue;
  switch (report.end) {
    case attempt_end::kAnswered:
      health.Answered(now);
      state_.circuit.Answered(endpoint.FailureDomain(), now);
      endpoint.Learn(total, call.expected);
      service.Pool(call.model).LearnTime(total);
      if (statistics != nullptr) {
        statistics->answer.Add(report.total, now);
        if (report.first_byte > duration::zero()) {
          statistics->first_byte.Add(report.first_byte, now);
          statistics->rest.Add(report.total - report.first_byte, now);
          if (call.started_at_once) {
            statistics->prompt.Add(Seconds(report.first_byte), call.cached);
          }
        }
      }
      return;
    case attempt_end::kCancelled:
      LearnUnfinished(endpoint, call, report, statistics);
      return;
    case attempt_end::kTimedOut:
      // The answer would have taken at least this long. Were only answers
      // counted, an overload would look fast: the slow ones never count.
      if (statistics != nullptr) {
        const bool begun = report.first_byte > duration::zero();
        const double rest = begun ? 0 : statistics->rest.Summary().median;
        statistics->answer.Add(report.total + FromSeconds(rest), now);
      }
      // A short timeout near a deadline says nothing about the endpoint.
      if (!overdue) {
        return;
      }
      LearnUnfinished(endpoint, call, report, statistics);
      break;
    case attempt_end::kUnreached:
    case attempt_end::kRefusedByEndpoint:
      if (!report.said_leaving) {
        health.Refused(now);
        CountDomainFailure(endpoint, now);
      }
      return;
    case attempt_end::kFailed:
      break;
  }
  health.Failed(now);
  CountDomainFailure(endpoint, now);
}

void attempt_learner::CountDomainFailure(const endpoint_state& endpoint,
                                         time_point now) {
  if (state_.options.domain_circuit) {
    state_.circuit.Failed(endpoint.FailureDomain(), endpoint.Address(), now);
  }
}

// An attempt that was given up, often as the loser of a hedge, would have taken
// at least this long. Where not even its first byte came, the wait is compared
// with that of a first byte: the loser is cancelled long before it has shown
// how slow the whole answer would be.
void attempt_learner::LearnUnfinished(endpoint_state& endpoint,
                                      const call_in_flight& call,
                                      const attempt_report& report,
                                      const stage_statistics* statistics) {
  const double total = Seconds(report.total);
  double expected = call.expected;
  if (statistics != nullptr && report.first_byte == duration::zero()) {
    const latency_summary& first = statistics->first_byte.Summary();
    if (first.known && total > first.high) {
      expected = std::min(expected, first.median);
    }
  }
  if (total > expected) {
    endpoint.Learn(total, expected);
  }
}

}  // namespace slatestall
