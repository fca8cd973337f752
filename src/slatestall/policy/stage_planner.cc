#include "slatestall/policy/stage_planner.h"

#include <algorithm>
#include <utility>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr std::size_t kMostWaiting = 2048;  // Calls of one service.
constexpr std::size_t kMostAttempts = 4;
constexpr std::size_t kMostUnreached = 8;  // Besides these attempts.
// Ten times the slowest usual gap between tokens, and short against deadlines.
constexpr auto kStallTimeout = milliseconds(700);
constexpr double kFirstBackoff = 0.01;  // Seconds; doubles, with jitter.
// Some way beyond the 95th percentile: at that percentile itself one call in
// twenty is hedged on the best of days, and its endpoint time is wasted.
constexpr double kHedgeFactor = 1.5;
// Of the time left, before the usual time is known. The first calls after a
// start would otherwise wait for a hanging endpoint until their deadline.
constexpr double kUnknownHedgeShare = 0.25;
constexpr double kPrefillShare = 0.7;      // Of the time to the first byte.
constexpr double kListRetryAfter = 1;      // Seconds, while a list is empty.
constexpr double kShortRetryAfter = 0.25;  // Seconds.
const std::vector<std::uint64_t> kNoPrefixes;

stage_decision Refuse(const stage_request& request, error_kind kind,
                      double retry_after, std::string reason) {
  stage_decision decision;
  decision.ticket = request.ticket;
  decision.verdict = stage_verdict::kRefuse;
  decision.refusal = kind;
  decision.retry_after = ToMilliseconds(retry_after);
  decision.reason = std::move(reason);
  return decision;
}

int EnginePriority(priority_class priority) {
  return priority == priority_class::kInteractive ? 0 : 1;
}

}  // namespace

stage_planner::call_context stage_planner::ContextOf(
    const stage_request& request, service_traffic& service, time_point now) {
  pipeline_statistics& pipeline = state_.Pipeline(request.pipeline->name);
  stage_statistics& statistics =
      pipeline.Stage(*request.pipeline, request.stage);
  const stage_config& stage = request.pipeline->stages.at(request.stage);
  const std::string& model = state_.ModelText(stage.model);
  return {request,
          stage,
          service,
          model,
          service.FreshPool(model, state_.circuit, now),
          statistics,
          deadline_budget(pipeline, request.stage, request.deadline,
                          request.priority)};
}

stage_decision stage_planner::Plan(const stage_request& request,
                                   time_point now) {
  const std::string& name = request.pipeline->stages.at(request.stage).service;
  service_traffic* service = state_.Service(name);
  if (service == nullptr) {
    return Refuse(request, error_kind::kNoEndpoint, kListRetryAfter,
                  "service " + name + " has no endpoints");
  }
  call_context call = ContextOf(request, *service, now);
  if (request.is_hedge) {
    return PlanHedge(call, now);
  }
  if (!request.is_retry) {
    call.statistics.retries.CountFirstAttempt();
    call.statistics.hedges.CountFirstAttempt();
  }
  const bool too_late = state_.options.early_refusal
                            ? now > call.budget.LastChance()
                            : request.deadline <= now;
  if (too_late) {
    return Refuse(request, error_kind::kDeadlineUnreachable, kShortRetryAfter,
                  "the stages left usually take longer than the time left");
  }
  call.pool.Usage().Want(request.priority, now);
  if (call.pool.MustWaitInLine(request.priority, now)) {
    return Enqueue(call, now);
  }
  return Dispatch(call, now);
}

stage_decision stage_planner::PlanHedge(call_context& call, time_point now) {
  if (!call.service.Repeatable()) {
    return Refuse(call.request, error_kind::kOverloaded, 0,
                  "the service is not repeatable");
  }
  if (now > call.budget.LatestStart() || !call.pool.HasSpareRoom()) {
    return Refuse(call.request, error_kind::kOverloaded, 0,
                  "no spare room for a hedge");
  }
  if (!call.statistics.hedges.Covers()) {
    return Refuse(call.request, error_kind::kOverloaded, 0,
                  "the hedge budget is spent");
  }
  stage_decision decision = Dispatch(call, now);
  if (decision.verdict == stage_verdict::kDispatch) {
    call.statistics.hedges.Take();
    decision.hedge_after.reset();
  }
  return decision;
}

stage_decision stage_planner::Enqueue(call_context& call, time_point now) {
  stage_queue& queue = call.pool.Queue();
  const stage_request& request = call.request;
  if (queue.Size(request.priority) >= kMostWaiting) {
    return Refuse(request, error_kind::kOverloaded, 1,
                  "too many waiting calls");
  }
  const time_point latest = state_.options.early_refusal
                                ? call.budget.LatestStart()
                                : request.deadline;
  const latency_summary& answer = call.statistics.answer.Summary();
  const double cost = answer.known ? answer.median : call.pool.MeanTime();
  queue.Push({request, now, latest, state_.WeightOf(request.workspace), cost});
  stage_decision decision;
  decision.ticket = request.ticket;
  decision.verdict = stage_verdict::kWait;
  decision.reason = "endpoints of " + call.stage.service + " are full";
  return decision;
}

stage_decision stage_planner::Dispatch(call_context& call, time_point now) {
  const stage_request& request = call.request;
  const choice_request choice = ChoiceFor(call);
  endpoint_state* endpoint = call.service.Choice().Choose(
      call.service.Endpoints().For(call.model).endpoints, choice,
      state_.circuit, state_.random, now);
  if (endpoint == nullptr) {
    return Refuse(request, error_kind::kNoEndpoint, kListRetryAfter,
                  "no endpoint of " + call.stage.service + " takes work");
  }
  const latency_summary& answer = call.statistics.answer.Summary();
  const double per_slot = (endpoint->Load(now) + 1) / endpoint->Slots();
  const double expected = answer.median * std::max(1.0, per_slot);
  endpoint->Start({request.ticket, request.pipeline->name, call.model,
                   request.stage, request.priority, now, expected, answer.worst,
                   call.service.Choice().CachedShare(*endpoint, choice),
                   per_slot <= 1});
  call.pool.Usage().Start(request.priority, now);
  call.service.Choice().Sent(request.prefix_hashes, endpoint->Address());
  stage_decision decision;
  decision.ticket = request.ticket;
  decision.verdict = stage_verdict::kDispatch;
  decision.address = endpoint->Address();
  const bool bounded =
      call.service.Repeatable() && state_.options.learned_timeouts;
  decision.attempt_timeout = call.budget.AttemptTimeout(
      answer, bounded, !call.pool.HasSpareRoom(), now);
  decision.engine_priority = EnginePriority(request.priority);
  if (call.service.Kind() == service_kind::kEngine) {
    decision.stall_timeout = kStallTimeout;
    SetFirstByteTimeout(call, decision, now);
  }
  SetHedge(call, decision, now);
  return decision;
}

choice_request stage_planner::ChoiceFor(const call_context& call) const {
  choice_request choice;
  choice.prefixes = state_.options.cache_affinity ? &call.request.prefix_hashes
                                                  : &kNoPrefixes;
  choice.tried = &call.request.tried;
  choice.adapter = call.stage.adapter;
  choice.service_time = call.statistics.answer.Summary().median;
  choice.mean_time = call.pool.MeanTime();
  choice.prefix_time = call.statistics.prompt.Saved(
      call.statistics.first_byte.Summary().median * kPrefillShare);
  return choice;
}

void stage_planner::SetHedge(call_context& call, stage_decision& decision,
                             time_point now) {
  if (!state_.options.hedging || !call.service.Repeatable() ||
      !call.statistics.hedges.Covers() ||
      !AnotherEndpoint(call, decision.address, kept_out::kEjected, now)) {
    return;
  }
  const latency_summary& first = call.statistics.first_byte.Summary();
  const latency_summary& answer = call.statistics.answer.Summary();
  const double high = first.known ? first.high : answer.high;
  const double usual =
      high > 0 ? high * kHedgeFactor
               : Seconds(call.request.deadline - now) * kUnknownHedgeShare;
  decision.hedge_after = ToMilliseconds(usual);
}

// An engine runs what waits in its own queue whether it can still be done in
// time or not: drafts that waited behind shoppers there ran for seconds, were
// cut off at their deadline and were most of the waste of an overload. The host
// knows that none has begun, by the first byte, and takes the call back.
void stage_planner::SetFirstByteTimeout(const call_context& call,
                                        stage_decision& decision,
                                        time_point now) const {
  const latency_summary& rest = call.statistics.rest.Summary();
  if (!state_.options.early_refusal || !call.service.Repeatable() ||
      !rest.known) {
    return;
  }
  const milliseconds left =
      call.budget.TimeLeft(now) - ToMilliseconds(rest.high);
  decision.first_byte_timeout = std::max(milliseconds(1), left);
}

// A hedge is sent for speed and leaves ejected endpoints alone. A retry is the
// request's last hope: refused while an ejected endpoint is left, which a first
// call would be given, it would fail a request that has time.
bool stage_planner::AnotherEndpoint(const call_context& call,
                                    const std::string& address, kept_out which,
                                    time_point now) {
  const auto& tried = call.request.tried;
  const auto& candidates = call.service.Endpoints().For(call.model).endpoints;
  return std::any_of(
      candidates.begin(), candidates.end(), [&](const endpoint_state* state) {
        const bool is_kept_out =
            state->Leaving() ||
            (which == kept_out::kEjected && state->Health().Ejected(now));
        return !is_kept_out && state->Address() != address &&
               std::find(tried.begin(), tried.end(), state->Address()) ==
                   tried.end();
      });
}

std::vector<stage_decision> stage_planner::TakeReady(time_point now) {
  std::vector<stage_decision> ready;
  for (auto& [name, service] : state_.services) {
    for (auto& [model, pool] : service->Pools()) {
      if (!pool.Queue().Empty()) {
        TakeReadyOf(*service, pool, now, ready);
      }
    }
  }
  return ready;
}

void stage_planner::TakeReadyOf(service_traffic& service, stage_pool& pool,
                                time_point now,
                                std::vector<stage_decision>& ready) {
  for (const queued_call& late : pool.Queue().PopOverdue(now)) {
    ready.push_back(Refuse(late.request, error_kind::kDeadlineUnreachable,
                           kShortRetryAfter,
                           "waited until the deadline was out of reach"));
  }
  while (const auto next = pool.NextClass(now)) {
    const auto queued = pool.Queue().Pop(*next);
    call_context call = ContextOf(queued->request, service, now);
    ready.push_back(Dispatch(call, now));
  }
}

void stage_planner::Withdraw(stage_ticket ticket) {
  for (auto& [name, service] : state_.services) {
    for (auto& [model, pool] : service->Pools()) {
      if (pool.Queue().Remove(ticket)) {
        return;
      }
    }
  }
}

retry_decision stage_planner::PlanRetry(const stage_request& request,
                                        time_point now) {
  retry_decision decision;
  const std::string& name = request.pipeline->stages.at(request.stage).service;
  service_traffic* service = state_.Service(name);
  const std::size_t reached = request.tried.size() - request.unreached;
  if (service == nullptr || reached >= kMostAttempts ||
      request.unreached >= kMostUnreached) {
    decision.reason = "no attempt is left";
    return decision;
  }
  const call_context call = ContextOf(request, *service, now);
  const std::size_t earlier =
      request.tried.empty() ? 0 : request.tried.size() - 1;
  const double backoff = earlier == 0 ? 0
                                      : kFirstBackoff *
                                            static_cast<double>(1U << earlier) *
                                            (0.5 + state_.random.Unit());
  // Where calls wait, a retry that will likely be late takes their place.
  const time_point latest = call.pool.Queue().Empty()
                                ? call.budget.LastChance()
                                : call.budget.LatestStart();
  if (now + FromSeconds(backoff) > latest ||
      request.deadline <= now + FromSeconds(backoff)) {
    decision.too_late = true;
    decision.reason = "the time left is too short";
  } else if (!AnotherEndpoint(call, "", kept_out::kLeavingOnly, now)) {
    decision.reason = "no other endpoint";
  } else if (!request.is_free_retry && !call.statistics.retries.Take()) {
    decision.reason = "the retry budget is spent";
  } else {
    decision.retry = true;
    decision.after = ToMilliseconds(backoff);
    decision.reason = "another endpoint may answer in time";
  }
  return decision;
}

std::map<std::string, std::uint32_t> stage_planner::InFlight() const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [name, service] : state_.services) {
    for (const auto& [address, endpoint] : service->Endpoints().States()) {
      if (endpoint->InFlight() > 0) {
        counts[address] += static_cast<std::uint32_t>(endpoint->InFlight());
      }
    }
  }
  return counts;
}

}  // namespace slatestall
