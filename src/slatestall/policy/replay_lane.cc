#include "slatestall/policy/replay_lane.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

constexpr auto kConnectTimeout = milliseconds(250);
constexpr auto kTick = milliseconds(5);
constexpr auto kDeadlineMargin = milliseconds(10);
const std::string kTooLate = "not whole at the deadline";
const std::string kMisfit = "no such pipeline in force";
const std::string kNotRepeatable = "the call may have run";

std::string TextOf(const stage_decision& decision) {
  return std::to_string(decision.ticket) + ' ' +
         std::to_string(static_cast<int>(decision.verdict)) + ' ' +
         decision.address + ' ' +
         std::to_string(decision.attempt_timeout.count()) + ' ' +
         std::to_string(
             decision.hedge_after.value_or(milliseconds(-1)).count()) +
         ' ' + std::to_string(decision.retry_after.count()) + ' ' +
         decision.reason;
}

}  // namespace

replay_lane::replay_lane(replay_surroundings& surroundings,
                         const traffic_policy_options& options,
                         std::function<demand_estimate&()> demand)
    : around_(surroundings),
      failure_domain_(options.failure_domain),
      demand_(std::move(demand)),
      policy_(options) {}

void replay_lane::UseSnapshot(const control_snapshot_ptr& snapshot) {
  snapshot_ = snapshot;
  policy_.UseSnapshot(snapshot, around_.events.Now());
  Pump();
}

void replay_lane::Arrive(const trace_arrival& arrival) {
  const time_point now = around_.events.Now();
  const configuration& content = snapshot_->configuration->content;
  const auto found = content.pipelines.find(arrival.pipeline);
  if (found == content.pipelines.end() ||
      arrival.work.size() < found->second.stages.size()) {
    return Misfit(arrival);
  }
  const pipeline_config& pipeline = found->second;
  const milliseconds allowed =
      std::min(arrival.deadline.value_or(pipeline.deadline), pipeline.deadline);
  around_.tally.Arrived();
  const admission decision =
      policy_.Admit({arrival.workspace, &pipeline, now + allowed}, now);
  around_.tally.Decided(decision.admitted ? "admitted" : decision.reason);
  if (!decision.admitted) {
    around_.tally.Because(decision.reason);
    if (decision.refusal == error_kind::kLimitExceeded) {
      demand_().Refused(arrival.workspace);
    }
    around_.tally.Ended(arrival, pipeline.priority, replay_outcome::kRefused,
                        {});
    return;
  }
  const request_number number = ++last_request_;
  live_request& live = live_[number];
  live.arrival = &arrival;
  live.snapshot = snapshot_;
  live.pipeline = &pipeline;
  live.arrived = now;
  live.deadline = now + allowed;
  live.used.resize(pipeline.stages.size());
  around_.events.At(live.deadline, [this, number] { DeadlinePassed(number); });
  StartStage(number);
}

// In a recorded trace a configuration may come into force a moment after the
// first arrival that was served under it.
void replay_lane::Misfit(const trace_arrival& arrival) {
  around_.tally.Arrived();
  around_.tally.Because(kMisfit);
  around_.tally.Ended(arrival, arrival.answer.value_or(trace_answer{}).priority,
                      replay_outcome::kRefused, {});
}

replay_lane::live_request* replay_lane::Find(request_number number) {
  const auto found = live_.find(number);
  return found == live_.end() ? nullptr : &found->second;
}

const service_config& replay_lane::Service(const live_request& live) const {
  const std::string& name = live.pipeline->stages.at(live.stage).service;
  return live.snapshot->configuration->content.services.at(name);
}

std::string replay_lane::StageName(const live_request& live) const {
  return live.pipeline->name + "/" + live.pipeline->stages.at(live.stage).name;
}

stage_request replay_lane::RequestFor(const live_request& live,
                                      stage_ticket ticket) const {
  stage_request request;
  request.ticket = ticket;
  request.workspace = live.arrival->workspace;
  request.pipeline = live.pipeline;
  request.stage = live.stage;
  request.priority = live.pipeline->priority;
  request.deadline = live.deadline;
  request.tried = live.tried;
  request.unreached = live.unreached;
  request.is_free_retry = live.last_unreached;
  if (live.arrival->prefix != 0 &&
      Service(live).kind == service_kind::kEngine) {
    request.prefix_hashes = {live.arrival->prefix};
  }
  return request;
}

void replay_lane::StartStage(request_number number) {
  live_request& live = live_.at(number);
  live.attempts.clear();
  live.tried.clear();
  live.unreached = 0;
  live.last_unreached = false;
  Submit(number, false, false, "");
}

void replay_lane::Submit(request_number number, bool is_retry, bool is_hedge,
                         const std::string& hedged) {
  const stage_ticket ticket = ++last_ticket_;
  stage_request request = RequestFor(live_.at(number), ticket);
  request.is_retry = is_retry;
  request.is_hedge = is_hedge;
  if (is_hedge) {
    request.tried.push_back(hedged);
  }
  planned_[ticket] = {number, is_hedge};
  Handle(policy_.Plan(request, around_.events.Now()));
}

void replay_lane::Handle(const stage_decision& decision) {
  around_.tally.Decided(TextOf(decision));
  const planned_call planned = planned_.at(decision.ticket);
  if (decision.verdict == stage_verdict::kWait) {
    Tick();
    return;
  }
  planned_.erase(decision.ticket);
  if (decision.verdict == stage_verdict::kDispatch) {
    if (planned.is_hedge) {
      around_.tally.Hedged();
    }
    Send(planned.request, decision);
    return;
  }
  if (planned.is_hedge) {
    return;
  }
  const live_request& live = live_.at(planned.request);
  around_.tally.Because(decision.reason);
  const bool late = decision.refusal == error_kind::kDeadlineUnreachable ||
                    decision.refusal == error_kind::kOverloaded;
  const replay_outcome after_start =
      late ? replay_outcome::kLate : replay_outcome::kFailed;
  End(planned.request,
      live.dispatched ? after_start : replay_outcome::kRefused);
}

void replay_lane::Send(request_number number, const stage_decision& decision) {
  live_request& live = live_.at(number);
  live.dispatched = true;
  around_.tally.Call(StageName(live));
  attempt sent;
  sent.ticket = decision.ticket;
  sent.address = decision.address;
  sent.endpoint = around_.endpoint(decision.address);
  sent.sent = around_.events.Now();
  sent.stall_timeout = decision.stall_timeout.value_or(milliseconds(0));
  live.attempts.push_back(sent);
  const std::size_t index = live.attempts.size() - 1;
  const std::size_t stage = live.stage;
  around_.events.After(
      OneWay(*sent.endpoint),
      [this, number, index, stage, priority = decision.engine_priority] {
        Connect(number, index, stage, priority);
      });
  around_.events.After(decision.attempt_timeout, [this, number, index, stage] {
    Answered(number, stage, index, {attempt_end::kTimedOut, false, {}});
  });
  ScheduleHedge(number, index, decision);
  ScheduleGiveUp(number, index, decision);
}

void replay_lane::Connect(request_number number, std::size_t index,
                          std::size_t stage, int priority) {
  live_request* live = Find(number);
  if (live == nullptr || live->stage != stage || !live->attempts[index].open) {
    return;
  }
  if (live->attempts[index].endpoint->Reachable()) {
    Deliver(number, index, stage, priority);
    return;
  }
  // No connection was made, which proves that nothing ran.
  around_.events.After(kConnectTimeout, [this, number, index, stage] {
    Answered(number, stage, index, {attempt_end::kUnreached, false, {}});
  });
}

void replay_lane::Deliver(request_number number, std::size_t index,
                          std::size_t stage, int priority) {
  live_request& live = live_.at(number);
  attempt& sent = live.attempts[index];
  const duration back = OneWay(*sent.endpoint);
  modelled_call call;
  call.work = live.arrival->work.at(stage);
  call.prefix = live.arrival->prefix;
  call.priority = priority;
  call.stall_timeout = sent.stall_timeout;
  call.answer = [this, number, index, stage,
                 back](const modelled_answer& answer) {
    around_.events.After(back, [this, number, index, stage, answer] {
      Answered(number, stage, index, answer);
    });
  };
  sent.call = sent.endpoint->Submit(std::move(call));
}

void replay_lane::ScheduleHedge(request_number number, std::size_t index,
                                const stage_decision& decision) {
  if (!decision.hedge_after) {
    return;
  }
  const std::size_t stage = live_.at(number).stage;
  around_.events.After(*decision.hedge_after, [this, number, index, stage] {
    live_request* live = Find(number);
    if (live == nullptr || live->stage != stage ||
        !live->attempts[index].open) {
      return;
    }
    const attempt& first = live->attempts[index];
    if (!first.endpoint->AnswerHasBegun(first.call)) {
      Submit(number, false, true, first.address);
    }
  });
}

void replay_lane::ScheduleGiveUp(request_number number, std::size_t index,
                                 const stage_decision& decision) {
  if (!decision.first_byte_timeout) {
    return;
  }
  const std::size_t stage = live_.at(number).stage;
  around_.events.After(
      *decision.first_byte_timeout, [this, number, index, stage] {
        const live_request* live = Find(number);
        if (live == nullptr || live->stage != stage ||
            !live->attempts[index].open) {
          return;
        }
        const attempt& waits = live->attempts[index];
        if (!waits.endpoint->AnswerHasBegun(waits.call)) {
          Answered(number, stage, index, {attempt_end::kTimedOut, false, {}});
        }
      });
}

void replay_lane::Answered(request_number number, std::size_t stage,
                           std::size_t index, const modelled_answer& answer) {
  live_request* live = Find(number);
  if (live == nullptr || live->stage != stage || !live->attempts[index].open) {
    return;
  }
  attempt& ended = live->attempts[index];
  CloseAttempt(*live, ended, answer.end, answer);
  const duration busy =
      ended.call == 0 ? duration::zero() : ended.endpoint->Busy(ended.call);
  if (answer.end == attempt_end::kAnswered) {
    live->used[stage] += busy;
    CancelOpen(*live, attempt_waste::kHedged);
    StageDone(number);
  } else {
    around_.tally.Wasted(StageName(*live), attempt_waste::kRetried, busy);
    live->tried.push_back(ended.address);
    live->last_unreached = answer.end == attempt_end::kUnreached;
    live->unreached += live->last_unreached ? 1 : 0;
    Retry(number, answer.end);
  }
  Pump();
}

void replay_lane::CloseAttempt(live_request& live, attempt& closed,
                               attempt_end end, const modelled_answer& answer) {
  closed.open = false;
  const bool begun =
      closed.call != 0 && closed.endpoint->AnswerHasBegun(closed.call);
  if (closed.call != 0) {
    closed.endpoint->Cancel(closed.call);
  }
  attempt_report report;
  report.ticket = closed.ticket;
  report.service = live.pipeline->stages[live.stage].service;
  report.address = closed.address;
  report.pipeline = live.pipeline->name;
  report.stage = live.stage;
  report.end = end;
  report.said_leaving = answer.said_leaving;
  report.first_byte = begun ? duration(1) : answer.first_byte;
  report.total = around_.events.Now() - closed.sent;
  policy_.Ended(report, around_.events.Now());
}

void replay_lane::CancelOpen(live_request& live, attempt_waste waste) {
  for (attempt& other : live.attempts) {
    if (!other.open) {
      continue;
    }
    CloseAttempt(live, other, attempt_end::kCancelled, {});
    if (other.call != 0) {
      around_.tally.Wasted(StageName(live), waste,
                           other.endpoint->Busy(other.call));
    }
  }
}

void replay_lane::Retry(request_number number, attempt_end end) {
  live_request& live = live_.at(number);
  const bool another_runs =
      std::any_of(live.attempts.begin(), live.attempts.end(),
                  [](const attempt& other) { return other.open; });
  if (another_runs) {
    return;
  }
  const bool safe = end == attempt_end::kRefusedByEndpoint ||
                    end == attempt_end::kUnreached || Service(live).repeatable;
  const retry_decision decision =
      safe ? policy_.PlanRetry(RequestFor(live, last_ticket_ + 1),
                               around_.events.Now())
           : retry_decision{false, {}, kNotRepeatable};
  around_.tally.Decided(decision.reason);
  if (!decision.retry) {
    // A timeout that the deadline has set ends just before it.
    const bool late = live.deadline - around_.events.Now() <= kDeadlineMargin;
    around_.tally.Because(late ? kTooLate : decision.reason);
    End(number, late ? replay_outcome::kLate : replay_outcome::kFailed);
    return;
  }
  around_.tally.Retried();
  const std::size_t stage = live.stage;
  around_.events.After(decision.after, [this, number, stage] {
    const live_request* waiting = Find(number);
    if (waiting != nullptr && waiting->stage == stage) {
      Submit(number, true, false, "");
    }
  });
}

void replay_lane::StageDone(request_number number) {
  live_request& live = live_.at(number);
  CheckDoubled(live);
  if (live.stage + 1 < live.pipeline->stages.size()) {
    ++live.stage;
    StartStage(number);
    return;
  }
  End(number, replay_outcome::kInTime);
}

void replay_lane::CheckDoubled(const live_request& live) {
  if (Service(live).repeatable) {
    return;
  }
  const auto runs = std::count_if(
      live.attempts.begin(), live.attempts.end(), [](const attempt& other) {
        return other.call != 0 && other.endpoint->Ran(other.call);
      });
  if (runs > 1) {
    around_.tally.Doubled();
  }
}

void replay_lane::DeadlinePassed(request_number number) {
  if (Find(number) != nullptr) {
    around_.tally.Because(kTooLate);
    const bool dispatched = live_.at(number).dispatched;
    End(number, dispatched ? replay_outcome::kLate : replay_outcome::kRefused);
    Pump();
  }
}

void replay_lane::End(request_number number, replay_outcome outcome) {
  live_request live = std::move(live_.at(number));
  live_.erase(number);
  const bool in_time = outcome == replay_outcome::kInTime;
  const attempt_waste waste = outcome == replay_outcome::kLate
                                  ? attempt_waste::kLate
                                  : attempt_waste::kCancelled;
  CancelOpen(live, waste);
  for (auto it = planned_.begin(); it != planned_.end();) {
    if (it->second.request != number) {
      ++it;
      continue;
    }
    policy_.Withdraw(it->first);
    it = planned_.erase(it);
  }
  for (std::size_t i = 0; i < live.used.size(); ++i) {
    const std::string stage =
        live.pipeline->name + "/" + live.pipeline->stages[i].name;
    if (in_time) {
      around_.tally.Used(stage, live.used[i]);
    } else {
      around_.tally.Wasted(stage, waste, live.used[i]);
    }
  }
  const time_point now = around_.events.Now();
  policy_.Release({live.arrival->workspace, live.pipeline, in_time,
                   in_time ? live.arrival->tokens : 0},
                  now);
  demand_().Ended(live.arrival->workspace,
                  std::chrono::duration<double>(now - live.arrived).count(),
                  in_time ? live.arrival->tokens : 0);
  around_.tally.Ended(*live.arrival, live.pipeline->priority, outcome,
                      now - live.arrived);
}

void replay_lane::Pump() {
  for (const stage_decision& decision :
       policy_.TakeReady(around_.events.Now())) {
    Handle(decision);
  }
}

void replay_lane::Tick() {
  if (ticking_) {
    return;
  }
  ticking_ = true;
  around_.events.After(kTick, [this] {
    ticking_ = false;
    Pump();
    if (!planned_.empty()) {
      Tick();
    }
  });
}

duration replay_lane::OneWay(const modelled_endpoint& endpoint) const {
  return endpoint.Where().failure_domain == failure_domain_
             ? around_.network.same_domain
             : around_.network.cross_domain;
}

}  // namespace slatestall
