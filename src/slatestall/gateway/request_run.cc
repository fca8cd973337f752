// A request from its start to its one final answer.
#include "slatestall/gateway/request_run.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/model/ids.h"
#include "slatestall/serve/problem.h"

namespace slatestall {
namespace {

/// A request of an ordinary day is logged in this share, by its id, so that
/// all hosts choose the same ones.
constexpr std::uint64_t kLoggedShare = 16;

}  // namespace

request_run::request_run(gateway_environment& environment,
                         const stage_calls& stages, inbound_request request,
                         answer_channel_ptr channel)
    : environment_(environment),
      stages_(stages),
      request_(std::move(request)),
      channel_(std::move(channel)),
      spans_(request_.arrived),
      deadline_timer_(environment.context),
      stall_timer_(environment.context) {}

void request_run::Start() {
  channel_->OnCallerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  if (const auto refused = Identify()) {
    Refuse(*refused);
    return;
  }
  environment_.runs.insert(this);
  if (TakesUpAStream()) {
    ArmDeadline();
    FindOrigin();
  } else {
    Admit();
  }
}

void request_run::Admit() {
  if (const auto refused = CheckAdmission()) {
    Refuse(*refused);
    return;
  }
  LogTakenWhileStopping();
  environment_.repeats.NoteRequest(service_, environment_.now());
  environment_.metrics.Count("requests", route_->name);
  ArmDeadline();
  Book();
}

void request_run::ArmDeadline() {
  deadline_timer_.expires_after(deadline_ - environment_.now());
  deadline_timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& error) {
        if (!error) {
          self->OnDeadline();
        }
      });
}

void request_run::DeliverWhole() {
  channel_->Send(answer_.status,
                 environment_.protocol.answer_headers(answer_.headers),
                 std::move(answer_body_));
  environment_.metrics.Observe("answer", route_->name,
                               environment_.now() - request_.arrived);
  Finish(request_end::kAnswered);
}

void request_run::Refuse(const refusal& why) {
  const auto failure = UnsentProblem(why.kind, why.detail, facts_.id, {});
  auto headers = ProblemHeaders(failure);
  if (why.retry_after > milliseconds(0)) {
    headers.push_back(
        {"Retry-After",
         std::to_string(
             std::chrono::duration<double>(why.retry_after).count())});
  }
  channel_->Send(StatusOf(failure), headers, ProblemAsJson(failure));
  environment_.log.Write(
      "request_refused",
      {{"request", facts_.id},
       {"route", route_ != nullptr ? route_->name : ""},
       {"kind", AnswerFor(why.kind).name},
       {"detail", why.detail},
       {"retry_after_ms", why.retry_after.count()},
       {"configuration", table_ ? table_->version : 0},
       {"endpoint", dispatch_.endpoint_id},
       {"after_ms",
        WholeMilliseconds(environment_.now() - request_.arrived).count()}});
  environment_.metrics.Count("refused", AnswerFor(why.kind).name);
  Finish(request_end::kRefused);
}

void request_run::Abort(const std::string& why) {
  environment_.log.Write("stream_cut", {{"request", facts_.id},
                                        {"route", route_->name},
                                        {"endpoint", dispatch_.endpoint_id},
                                        {"detail", why},
                                        {"last_event", last_event_.value_or(0)},
                                        {"left_ms", TimeLeft().count()}});
  environment_.metrics.Count("streams_cut", route_->name);
  channel_->Abort();
  Finish(request_end::kCut);
}

void request_run::OnCallerGone() {
  if (finished_) {
    return;
  }
  EndAttempt(call_lesson::kNothing);
  environment_.metrics.Count("callers_gone",
                             route_ != nullptr ? route_->name : "");
  Finish(request_end::kCallerGone);
}

void request_run::OnDeadline() {
  if (finished_) {
    return;
  }
  const bool sent = call_ != nullptr && call_->MayHaveLeft();
  EndAttempt(call_lesson::kNothing);
  if (stream_begun_) {
    Abort("time limit");
    return;
  }
  may_have_run_ = may_have_run_ || sent;
  Refuse({error_kind::kDeadlineExceeded, "time limit"});
}

/// A stream goes on until the process ends. Everybody else would see the
/// connection close without a word, and could not tell a request that has
/// reached no endpoint from one that may have run.
void request_run::OnHostEnds() {
  if (finished_ || stream_begun_) {
    return;
  }
  EndAttempt(call_lesson::kNothing);
  if (may_have_run_) {
    Refuse({error_kind::kOutcomeUnknown, "the host stops"});
  } else {
    Refuse(HostStops());
  }
}

void request_run::FreeResults() {
  if (graph_) {
    stages_.free(graph_->AllHandles());
    graph_->Reset();
  }
}

/// By what this host has seen: the first event, or the whole answer, against
/// the objective, and the pauses of a stream.
bool request_run::IsLate() const {
  return spans_.FirstEvent().value_or(environment_.now()) > objective_ ||
         late_pause_;
}

void request_run::Finish(request_end end) {
  if (finished_) {
    return;
  }
  finished_ = true;
  environment_.runs.erase(this);
  CancelStages();
  ReleaseBookings();
  FreeResults();
  deadline_timer_.cancel();
  stall_timer_.cancel();
  if (IsWhole(end) && IsSuccess()) {
    environment_.answers[route_->name].Note(environment_.now() -
                                            request_.arrived);
  }
  // A refusal has had its line.
  if (route_ != nullptr && end != request_end::kRefused) {
    LogEnd(end);
  }
  channel_ = nullptr;
}

/// What a stopping host takes decides how long it lives and what it cuts; an
/// ordinary end would leave no trace of it.
void request_run::LogTakenWhileStopping() const {
  if (!environment_.stop) {
    return;
  }
  const duration since = environment_.now() - environment_.stop->told_at;
  environment_.log.Write("taken_while_stopping",
                         {{"request", facts_.id},
                          {"route", route_->name},
                          {"stopping_ms", WholeMilliseconds(since).count()},
                          {"left_ms", TimeLeft().count()},
                          {"earlier_on_connection", request_.earlier}});
}

void request_run::LogEnd(request_end end) const {
  const bool ordinary = IsWhole(end);
  const bool is_late = IsLate();
  if (ordinary && !is_late && sends_ == 0 &&
      StableHash(facts_.id) % kLoggedShare != 0) {
    return;
  }
  nlohmann::json fields = {
      {"request", facts_.id},
      {"route", route_->name},
      {"outcome", NameIn(kRequestEndNames, end)},
      {"status", answer_.status},
      {"endpoint", dispatch_.endpoint_id},
      {"attempts", sends_ + moves_ + 1},
      {"configuration", table_->version},
      {"late", is_late},
      {"late_pause", late_pause_},
      {"past_deadline", environment_.now() > deadline_},
      {"after_ms",
       WholeMilliseconds(environment_.now() - request_.arrived).count()}};
  if (is_late || !ordinary) {
    fields.update(spans_.Fields(route_->stages, objective_));
    fields["booked_late"] = booked_ == booking_verdict::kLate;
  } else if (sends_ == 0) {
    fields["sampled"] = kLoggedShare;
  }
  environment_.log.Write("request_done", std::move(fields));
}

}  // namespace slatestall
