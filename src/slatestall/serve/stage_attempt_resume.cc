// How an attempt goes on after its stream broke, fell silent or changed words.

#include <asio/post.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "slatestall/serve/stage_attempt.h"

namespace slatestall {
namespace {

constexpr unsigned kMaxResumes = 3;
// A call that may not be repeated has nowhere else to go: 0.6 s of pauses.
constexpr unsigned kMaxResumesAtMostOnce = 6;
constexpr milliseconds kFirstResumePause{10};

}  // namespace

void stage_attempt::ResumeOrFail(attempt_result failure) {
  // What a resuming call proves ("not run", "not connected") is true of that
  // call alone; the one that began the stream has run.
  refused_connection_ = failure.end == attempt_end::kUnreached;
  if (resumes_ > 0 || Tokens() > 0) {
    failure.may_have_run = true;
    if (failure.end == attempt_end::kRefusedByEndpoint ||
        failure.end == attempt_end::kUnreached) {
      failure.end = attempt_end::kFailed;
    }
  }
  if (MayResume(failure)) {
    return ResumeLater();
  }
  Finish(std::move(failure));
}

bool stage_attempt::MayResume(const attempt_result& failure) const {
  if (spec_.message.kind != service_kind::kEngine || !failure.may_have_run ||
      !failure.worth_retrying || failure.stream_is_lost) {
    return false;
  }
  if (stalls_ > 1 && !spec_.at_most_once) {
    return false;
  }
  // An engine that takes no connection has ended, and its streams with it.
  const bool patient = spec_.at_most_once && !refused_connection_;
  if (resumes_ >= (patient ? kMaxResumesAtMostOnce : kMaxResumes)) {
    return false;
  }
  // Without a token a call that may be repeated is better off elsewhere.
  return Tokens() > 0 || spec_.at_most_once;
}

void stage_attempt::ResumeLater() {
  environment_.counters.Count(lane_event::kResume);
  hooks_.note("resume", std::to_string(Tokens()));
  resume_timer_.expires_after(kFirstResumePause * (1U << resumes_));
  ++resumes_;
  resume_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (error || self == nullptr || self->ended_) {
      return;
    }
    self->call_id_ = self->hooks_.next_id();
    self->WatchForStall();
    self->StartExchange(resume_point{self->spec_.id, self->Tokens()});
  });
}

// Only from the first event on: how long an engine may take to begin is the
// matter of the timeout and of hedges.
void stage_attempt::WatchForStall() {
  last_event_ = environment_.now();
  if (!spec_.stall_timeout || stall_watched_) {
    return;
  }
  stall_watched_ = true;
  CheckStall();
}

// An engine whose network is gone, or that is paused, says nothing at all, and
// the stream's own timeout was lifted with its first words. One stall is
// answered by a resume; after a second one another engine is better.
void stage_attempt::CheckStall() {
  const duration quiet = environment_.now() - last_event_;
  const auto left =
      std::chrono::ceil<milliseconds>(*spec_.stall_timeout - quiet);
  if (left > milliseconds(0)) {
    stall_timer_.expires_after(left);
    stall_timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
      const auto self = weak.lock();
      if (!error && self != nullptr && !self->ended_) {
        self->CheckStall();
      }
    });
    return;
  }
  stall_watched_ = false;
  if (!exchange_live_) {
    return;  // A resume is already due.
  }
  ++stalls_;
  hooks_.note("stalled", std::to_string(Tokens()));
  DropExchange();
  ResumeOrFail(Failure("the stream stalled"));
}

// The engine made the answer anew in other words. Asked again, it or another
// one would do no better, and the caller already has the first words.
void stage_attempt::EndDiverged() {
  hooks_.note("diverged", "the answer made anew has other words");
  DropExchange();
  asio::post(environment_.context, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && !self->ended_) {
      attempt_result failure = self->Failure(
          "the stream broke, and the answer made anew has other words");
      failure.worth_retrying = false;
      self->Finish(std::move(failure));
    }
  });
}

}  // namespace slatestall
