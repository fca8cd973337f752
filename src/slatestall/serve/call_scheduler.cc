#include "slatestall/serve/call_scheduler.h"

#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace slatestall {
namespace {

/// The policy has no clock: waiting calls that only time makes due (a limit
/// that refills, a deadline) are asked after at this interval.
constexpr milliseconds kWaitCheckInterval{5};

}  // namespace

call_scheduler::call_scheduler(asio::io_context& context,
                               traffic_policy& policy, now_function now)
    : context_(context),
      policy_(policy),
      now_(std::move(now)),
      timer_(context),
      alive_(std::make_shared<call_scheduler*>(this)) {}

stage_decision call_scheduler::Plan(const stage_request& request,
                                    const std::string& service,
                                    decision_handler later) {
  stage_decision decision = policy_.Plan(request, now_());
  if (decision.verdict != stage_verdict::kWait) {
    return decision;
  }
  auto call = std::make_shared<waiting_call>();
  call->later = std::move(later);
  call->if_dropped.ticket = request.ticket;
  call->if_dropped.service = service;
  call->if_dropped.pipeline = request.pipeline->name;
  call->if_dropped.stage = request.stage;
  call->if_dropped.end = attempt_end::kCancelled;
  waiting_.emplace(request.ticket, std::move(call));
  StartTimer();
  return decision;
}

void call_scheduler::Withdraw(stage_ticket ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) {
    return;
  }
  found->second->withdrawn = true;
  waiting_.erase(found);
  policy_.Withdraw(ticket);
}

void call_scheduler::Ended(const attempt_report& report) {
  policy_.Ended(report, now_());
  WakeLater();
}

retry_decision call_scheduler::PlanRetry(const stage_request& request) {
  return policy_.PlanRetry(request, now_());
}

void call_scheduler::UseSnapshot(const control_snapshot_ptr& snapshot) {
  policy_.UseSnapshot(snapshot, now_());
  WakeLater();
}

admission call_scheduler::Admit(const admission_request& request) {
  return policy_.Admit(request, now_());
}

void call_scheduler::Release(const request_end& end) {
  policy_.Release(end, now_());
  WakeLater();
}

// Delivered from the event loop only: a stage that ends inside another
// stage's callback would otherwise start calls under that callback's feet.
void call_scheduler::WakeLater() {
  if (wake_posted_ || waiting_.empty()) {
    return;
  }
  wake_posted_ = true;
  asio::post(context_, [alive = std::weak_ptr(alive_)] {
    if (const auto self = alive.lock()) {
      (*self)->wake_posted_ = false;
      (*self)->DeliverReady();
    }
  });
}

void call_scheduler::DeliverReady() {
  std::vector<std::pair<stage_decision, std::shared_ptr<waiting_call>>> ready;
  for (stage_decision& decision : policy_.TakeReady(now_())) {
    const auto found = waiting_.find(decision.ticket);
    if (found == waiting_.end()) {
      continue;
    }
    ready.emplace_back(std::move(decision), found->second);
  }
  for (const auto& [decision, call] : ready) {
    Deliver(decision, call);
  }
}

void call_scheduler::Deliver(const stage_decision& decision,
                             const std::shared_ptr<waiting_call>& call) {
  if (decision.verdict == stage_verdict::kWait) {
    return;
  }
  if (!call->withdrawn) {
    waiting_.erase(decision.ticket);
    call->later(decision);
    return;
  }
  // Withdrawn by a delivery just before this one: the policy already counts
  // the call as in flight, and would do so for ever.
  if (decision.verdict == stage_verdict::kDispatch) {
    call->if_dropped.address = decision.address;
    policy_.Ended(call->if_dropped, now_());
  }
}

void call_scheduler::StartTimer() {
  if (timer_runs_) {
    return;
  }
  timer_runs_ = true;
  timer_.expires_after(kWaitCheckInterval);
  timer_.async_wait([this, alive = std::weak_ptr(alive_)](asio::error_code) {
    if (alive.expired()) {
      return;
    }
    timer_runs_ = false;
    DeliverReady();
    if (!waiting_.empty()) {
      StartTimer();
    }
  });
}

}  // namespace slatestall
