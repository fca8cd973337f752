#include "slatestall/serve/stage_runner.h"

#include <algorithm>
#include <utility>

#include "slatestall/serve/problem.h"

namespace slatestall {
namespace {

attempt_use UseOfFailed(const attempt_result& result) {
  return result.end == attempt_end::kTimedOut ? attempt_use::kLate
                                              : attempt_use::kRetried;
}

}  // namespace

stage_runner::stage_runner(const lane_environment& environment, stage_spec spec,
                           stage_hooks hooks)
    : environment_(environment),
      spec_(std::move(spec)),
      hooks_(std::move(hooks)),
      accounts_(environment_, spec_, hooks_.on_usage),
      hedge_timer_(environment.context),
      retry_timer_(environment.context) {}

stage_runner::~stage_runner() { Cancel(attempt_use::kCancelled); }

const stage_config& stage_runner::Stage() const {
  return spec_.pipeline->stages[spec_.stage];
}

void stage_runner::Start() {
  started_ = environment_.now();
  if (spec_.kind == service_kind::kEngine) {
    prefix_hashes_ = PrefixHashes(spec_.data->Prompt());
  }
  Ask(ask::kFirst);
}

stage_request stage_runner::Request(ask why) const {
  stage_request request;
  request.ticket = environment_.scheduler.NextTicket();
  request.workspace = spec_.workspace;
  request.pipeline = spec_.pipeline;
  request.stage = spec_.stage;
  request.priority = spec_.pipeline->priority;
  request.deadline = spec_.deadline;
  request.prefix_hashes = prefix_hashes_;
  request.tried = tried_;
  request.unreached = unreached_;
  request.is_free_retry = last_unreached_;
  request.is_retry = why == ask::kRetry;
  request.is_hedge = why == ask::kHedge;
  return request;
}

void stage_runner::Ask(ask why) {
  const stage_request request = Request(why);
  const stage_decision decision = environment_.scheduler.Plan(
      request, Stage().service,
      [weak = weak_from_this(), why](const stage_decision& later) {
        const auto self = weak.lock();
        if (self != nullptr && !self->ended_) {
          self->waiting_ = 0;
          self->OnDecision(later, why);
        }
      });
  if (decision.verdict == stage_verdict::kWait) {
    waiting_ = request.ticket;
    Note("", "", "wait", decision.reason);
    if (why == ask::kHedge) {
      // A hedge that has to queue takes a turn from calls that have none.
      StopWaiting();
    }
    return;
  }
  OnDecision(decision, why);
}

void stage_runner::OnDecision(const stage_decision& decision, ask why) {
  if (decision.verdict == stage_verdict::kDispatch) {
    return Dispatch(decision, why);
  }
  Note("", "", "refuse", decision.reason);
  if (why == ask::kHedge) {
    return;
  }
  // Once an attempt may have run, a kind that promises "not run" would count
  // the request among those that cost nothing.
  Fail({may_have_run_ ? error_kind::kStageFailed : decision.refusal,
        decision.reason, Positive(decision.retry_after)});
}

void stage_runner::Dispatch(const stage_decision& decision, ask why) {
  if (why == ask::kHedge && (attempts_.size() != 1 || text_sent_)) {
    return accounts_.Unsent(decision);
  }
  // Asked last: from here to the socket nothing can pause this thread's work
  // for longer than the guard's own margin allows for.
  if (spec_.at_most_once && !hooks_.may_dispatch()) {
    accounts_.Unsent(decision);
    return Fail({error_kind::kClaimUnavailable,
                 "the claim of the key is no longer safe to use",
                 {}});
  }
  if (why == ask::kRetry) {
    environment_.counters.Count(lane_event::kRetry);
  }
  if (why == ask::kHedge) {
    environment_.counters.Count(lane_event::kHedge);
  }
  const auto attempt =
      std::make_shared<stage_attempt>(environment_, Attempt(decision));
  tried_.push_back(decision.address);
  attempts_.push_back(attempt);
  Note(attempt->Id().Text(), decision.address,
       why == ask::kHedge ? "hedge" : "dispatch", decision.reason);
  StartHedgeTimer(decision);
  attempt->Start(Hooks(attempt.get()));
}

attempt_spec stage_runner::Attempt(const stage_decision& decision) {
  attempt_spec attempt;
  attempt.message.kind = spec_.kind;
  attempt.message.stage = &Stage();
  attempt.message.data = spec_.data;
  attempt.message.priority = spec_.pipeline->priority;
  attempt.message.engine_priority = decision.engine_priority;
  attempt.message.lower_max_tokens = spec_.lower_max_tokens;
  attempt.ticket = decision.ticket;
  attempt.address = decision.address;
  attempt.id = {spec_.request, static_cast<unsigned>(spec_.stage),
                attempts_begun_++};
  attempt.deadline = spec_.deadline;
  attempt.at_most_once = spec_.at_most_once;
  attempt.goes_on_after = cut_;
  attempt.stall_timeout = decision.stall_timeout;
  // A call that may not be sent again gains nothing from giving up early: its
  // outcome would only become unknown.
  if (!spec_.at_most_once) {
    attempt.timeout = Positive(decision.attempt_timeout);
    attempt.first_byte_timeout = decision.first_byte_timeout;
  }
  return attempt;
}

attempt_hooks stage_runner::Hooks(stage_attempt* attempt) {
  const auto weak = weak_from_this();
  attempt_hooks hooks;
  hooks.on_text = [weak, attempt](std::uint64_t offset, std::string_view text) {
    if (const auto self = weak.lock()) {
      self->OnText(attempt, offset, text);
    }
  };
  hooks.on_done = [weak, attempt](attempt_result result) {
    if (const auto self = weak.lock()) {
      self->OnDone(attempt, std::move(result));
    }
  };
  hooks.next_id = [weak, id = attempt->Id()]() mutable {
    if (const auto self = weak.lock()) {
      id.attempt = self->attempts_begun_++;
    }
    return id;
  };
  hooks.note = [weak, attempt](std::string_view what, std::string_view reason) {
    if (const auto self = weak.lock()) {
      self->Note(attempt->Id().Text(), attempt->Address(), what, reason);
    }
  };
  return hooks;
}

void stage_runner::StartHedgeTimer(const stage_decision& decision) {
  if (!decision.hedge_after || spec_.at_most_once || attempts_.size() != 1) {
    return;
  }
  hedge_timer_.expires_after(*decision.hedge_after);
  hedge_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (error || self == nullptr || self->ended_ || self->waiting_ != 0 ||
        self->attempts_.size() != 1 || self->attempts_[0]->HasText()) {
      return;
    }
    self->Ask(ask::kHedge);
  });
}

// The first text decides between an attempt and its hedge: from then on the
// answer is the text of this attempt alone, and the other one is waste.
void stage_runner::OnText(stage_attempt* attempt, std::uint64_t offset,
                          std::string_view text) {
  hedge_timer_.cancel();
  CancelOthers(attempt, attempt_use::kHedged);
  if (spec_.streams) {
    text_sent_ = true;
    attempt->LiftTimeout();
    hooks_.on_text(offset, text);
  }
}

void stage_runner::OnDone(stage_attempt* attempt, attempt_result result) {
  const auto self = shared_from_this();
  const attempt_ptr ended = Take(attempt);
  if (ended_ || ended == nullptr) {
    return;
  }
  accounts_.Ended(*ended, result);
  if (text_sent_) {
    cut_ = ended;
  }
  if (result.end == attempt_end::kAnswered) {
    return OnAnswered(*ended, std::move(result));
  }
  OnFailed(*ended, result);
}

void stage_runner::OnAnswered(const stage_attempt& attempt,
                              attempt_result result) {
  ended_ = true;
  may_have_run_ = true;
  StopWaiting();
  CancelOthers(nullptr, attempt_use::kHedged);
  accounts_.Use(attempt, attempt_use::kUsed, &result.output.usage);
  Note(attempt.Id().Text(), attempt.Address(), "answered", "");
  stage_summary summary{Stage().name,
                        Stage().service,
                        attempt.Address(),
                        attempts_begun_,
                        environment_.now() - started_,
                        result.output.usage};
  hooks_.on_answer(std::move(result.output), std::move(summary));
}

void stage_runner::OnFailed(const stage_attempt& attempt,
                            const attempt_result& result) {
  may_have_run_ = may_have_run_ || result.may_have_run;
  last_unreached_ = result.end == attempt_end::kUnreached;
  unreached_ += last_unreached_ ? 1 : 0;
  Note(attempt.Id().Text(), attempt.Address(), "failed", result.detail);
  environment_.log.Write({log_severity::kWarning, "attempt failed",
                          spec_.request.text, spec_.workspace, Stage().name,
                          attempt.Address(), attempt.Id().Text(),
                          result.detail});
  if (result.may_have_run) {
    accounts_.Use(attempt, UseOfFailed(result), nullptr);
  }
  if (!attempts_.empty()) {
    return;  // The other of an attempt and its hedge still runs.
  }
  hedge_timer_.cancel();
  StopWaiting();
  RetryOrFail(result);
}

void stage_runner::RetryOrFail(const attempt_result& result) {
  // Where the call may not be repeated, only the same stream could go on; that
  // was tried by the attempt itself. Once text went to the caller, the next
  // attempt has to repeat it first.
  const bool may_send_again = !may_have_run_ || !spec_.at_most_once;
  if (!may_send_again || !result.worth_retrying) {
    return Fail(FailureOf(result));
  }
  const retry_decision decision =
      environment_.scheduler.PlanRetry(Request(ask::kRetry));
  if (!decision.retry) {
    Note("", "", "no retry", decision.reason);
    request_failure failure =
        decision.too_late ? OutOfTime(result) : FailureOf(result);
    failure.detail += "; not tried again: " + decision.reason;
    return Fail(std::move(failure));
  }
  Note("", "", "retry", decision.reason);
  if (decision.after <= milliseconds(0)) {
    return Ask(ask::kRetry);
  }
  retry_timer_.expires_after(decision.after);
  retry_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && !self->ended_) {
      self->Ask(ask::kRetry);
    }
  });
}

request_failure stage_runner::FailureOf(const attempt_result& result) const {
  const std::string detail = "stage " + Stage().name + ": " + result.detail;
  if (spec_.at_most_once && may_have_run_) {
    return {error_kind::kOutcomeUnknown, detail, {}};
  }
  if (!may_have_run_) {
    return {error_kind::kOverloaded, detail, {}};
  }
  return {error_kind::kStageFailed, detail, {}};
}

// The time ran out in this stage, though the stages after it are why: what was
// left would not have been enough for them.
request_failure stage_runner::OutOfTime(const attempt_result& result) const {
  request_failure failure = FailureOf(result);
  if (failure.kind == error_kind::kStageFailed &&
      result.end == attempt_end::kTimedOut) {
    failure.kind = error_kind::kDeadlineExceeded;
  }
  return failure;
}

void stage_runner::Fail(request_failure failure) {
  if (ended_) {
    return;
  }
  ended_ = true;
  StopWaiting();
  CancelOthers(nullptr, attempt_use::kRetried);
  hooks_.on_failure(std::move(failure));
}

void stage_runner::Cancel(attempt_use use) {
  ended_ = true;
  StopWaiting();
  hedge_timer_.cancel();
  retry_timer_.cancel();
  may_have_run_ = MayHaveRun();
  CancelOthers(nullptr, use);
}

void stage_runner::StopWaiting() {
  if (waiting_ != 0) {
    environment_.scheduler.Withdraw(waiting_);
    waiting_ = 0;
  }
}

stage_runner::attempt_ptr stage_runner::Take(const stage_attempt* attempt) {
  const auto found = std::find_if(
      attempts_.begin(), attempts_.end(),
      [attempt](const attempt_ptr& each) { return each.get() == attempt; });
  if (found == attempts_.end()) {
    return nullptr;
  }
  attempt_ptr taken = std::move(*found);
  attempts_.erase(found);
  return taken;
}

void stage_runner::CancelOthers(const stage_attempt* winner, attempt_use use) {
  std::vector<attempt_ptr> losers;
  for (const attempt_ptr& each : attempts_) {
    if (each.get() != winner) {
      losers.push_back(each);
    }
  }
  for (const attempt_ptr& loser : losers) {
    Take(loser.get());
    may_have_run_ = true;
    loser->Cancel();
    attempt_result cancelled;
    cancelled.end = attempt_end::kCancelled;
    accounts_.Ended(*loser, cancelled);
    accounts_.Use(*loser, use, nullptr);
  }
}

void stage_runner::Note(std::string_view attempt, std::string_view endpoint,
                        std::string_view what, std::string_view reason) const {
  hooks_.note({microseconds{0}, Stage().name, std::string(attempt),
               std::string(endpoint), std::string(what), std::string(reason)});
}

}  // namespace slatestall
