// The calls of a request to endpoints, and what follows from how they end.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/dispatch/endpoint_pick.h"
#include "slatestall/gateway/request_run.h"
#include "slatestall/model/ids.h"
#include "slatestall/relay/message_text.h"

namespace slatestall {
namespace {

constexpr milliseconds kConnectTimeout{350};
constexpr std::size_t kMaxEventBytes = std::size_t{256} << 10U;
/// Connections refused or addresses reused: nothing was run, and each try
/// costs a round trip.
constexpr unsigned kMaxMoves = 4;
/// A whole answer that takes as many times its objective is asked for again
/// elsewhere, where that may be done.
constexpr double kWholeStallFactor = 1.3;
constexpr milliseconds kShortestWholeStall{250};
/// First events come after queueing and prefill; later ones steadily.
constexpr double kFirstEventStallFactor = 2.0;
constexpr milliseconds kShortestFirstEventStall{1800};
constexpr int kPauseStallFactor = 3;
/// Longer than a sound endpoint is silent: it would go on beside the next one.
constexpr milliseconds kShortestPauseStall{1800};
constexpr milliseconds kShareWait{50};
constexpr int kFirstFailure = 400;
constexpr int kFirstServerFailure = 500;

}  // namespace

/// A configuration that came while the request waited may have taken its key
/// or its route away; nothing may be sent for it then.
std::optional<request_run::refusal> request_run::StillAllowed() const {
  const auto& newest = environment_.table;
  if (newest == table_) {
    return std::nullopt;
  }
  const auto host = RouteHost(FindHeader(request_.head.headers, "Host"));
  const auto* found = newest->Find(host, PathOf(request_.head.target));
  if (found == nullptr) {
    return refusal{error_kind::kNotFound, "the route was removed"};
  }
  if (newest->needs_keys && !found->is_public &&
      newest->HolderOf(facts_.key) == nullptr) {
    return refusal{error_kind::kUnauthorized, "the workspace key was revoked"};
  }
  return std::nullopt;
}

request_digest request_run::Digest() const {
  if (!digest_) {
    const auto host = RouteHost(FindHeader(request_.head.headers, "Host"));
    digest_ = DigestOf({host, request_.head.method, request_.head.target,
                        workspace_, request_.body});
  }
  return *digest_;
}

const std::vector<request_digest>& request_run::PartDigests() const {
  if (part_digests_.empty()) {
    for (std::size_t i = 0; i + 1 < facts_.prompt.size(); ++i) {
      part_digests_.push_back(DigestOfPart(facts_.prompt[i].id));
    }
  }
  return part_digests_;
}

/// What the endpoint of a broken call may have crashed by. A part of a prompt
/// crashes it as the answer begins.
std::vector<request_digest> request_run::Suspects() const {
  std::vector<request_digest> suspects{Digest()};
  if (event_reads_ == 0) {
    const auto& parts = PartDigests();
    suspects.insert(suspects.end(), parts.begin(), parts.end());
  }
  return suspects;
}

std::uint64_t request_run::SharedPrompt() const {
  if (facts_.prompt.size() < 2 ||
      !environment_.options.Uses(mechanism::kPromptHomes)) {
    return 0;
  }
  return StableHash(facts_.prompt[facts_.prompt.size() - 2].id) | 1U;
}

pick_request request_run::NewPick() const {
  pick_request pick;
  pick.now = environment_.now();
  pick.shared_prompt = SharedPrompt();
  if (regions_.allowed || origin_) {
    pick.may_use = [this](const known_endpoint& endpoint) {
      return MayUse(endpoint);
    };
  }
  const auto& all = environment_.roster.Of(service_);
  if (std::any_of(all.begin(), all.end(), [this](const auto& record) {
        return environment_.HasQuota(*record) || environment_.Bears(*record);
      })) {
    pick.may_call = [this](const endpoint_record& record) {
      return environment_.MayCall(record);
    };
  }
  if (const auto calls = environment_.ColdCalls(service_)) {
    pick.may_use_cold = [this, calls = *calls](const endpoint_record& record) {
      return environment_.MayUseCold(record, calls);
    };
  }
  return pick;
}

bool request_run::IsInRegion(const known_endpoint& endpoint) const {
  return environment_.Allows(regions_, endpoint.failure_domain);
}

bool request_run::MayUse(const known_endpoint& endpoint) const {
  return IsInRegion(endpoint) &&
         (!origin_ || endpoint.version == origin_->version);
}

/// Where all endpoints are cold or in need, this host's part of what they take
/// comes back within seconds. The more urgent ask more often.
bool request_run::AwaitShare() {
  const auto& all = environment_.roster.Of(service_);
  const bool bounds_cold = environment_.ColdCalls(service_).has_value();
  const bool has_share =
      std::any_of(all.begin(), all.end(), [&](const auto& record) {
        const bool is_cold = bounds_cold && record->Cold(environment_.now());
        const bool in_need = environment_.HasQuota(*record);
        return record->TakesCalls(environment_.now()) &&
               MayUse(record->Info()) &&
               (is_cold || (in_need && environment_.MayCallSoon(*record)));
      });
  const bool in_time = environment_.now() + FirstEventTime() < objective_;
  if (!has_share || !in_time) {
    return false;
  }
  stall_timer_.expires_after(kShareWait * (1 + std::max(0, rank_)));
  stall_timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& error) {
        if (!error && !self->finished_) {
          self->Dispatch();
        }
      });
  return true;
}

void request_run::Dispatch() {
  if (IsQuarantined() && !is_trial_) {
    const auto why = Quarantined();
    if (may_have_run_ || stream_begun_) {
      GiveUp(attempt_failure::kUnknown, why.detail);
    } else {
      Refuse(why);
    }
    return;
  }
  if (sends_ == 0) {
    if (const auto refused = StillAllowed()) {
      Refuse(*refused);
      return;
    }
    // It waited for its stages longer than expected. Begun now, it would be
    // cut.
    const auto& stop = environment_.stop;
    if (stop && !may_have_run_ &&
        environment_.now() + FirstEventTime() > stop->last_answer_by) {
      Refuse(HostStops());
      return;
    }
  }
  auto pick = NewPick();
  pick.tried = tried_;
  pick.one_home = !environment_.options.Uses(mechanism::kSecondHome);
  if (FinalBytes() >= kManyBytes &&
      environment_.options.Uses(mechanism::kNearResults)) {
    pick.near = DomainOf(graph_->FinalInputs());
  }
  const auto record = PickEndpoint(environment_.roster.Of(service_), pick);
  if (!record && AwaitShare()) {
    return;
  }
  if (!record) {
    GiveUp(attempt_failure::kNotRun, "no endpoint of the service is left");
    return;
  }
  Send(record);
}

void request_run::Send(const endpoint_record_ptr& record) {
  record_ = record;
  dispatch_.request = facts_.id;
  dispatch_.endpoint_id = record->Info().id;
  dispatch_.workspace = workspace_;
  dispatch_.time_left = TimeLeft();
  dispatch_.inputs = graph_->FinalInputs();
  dispatch_.resume_after = last_event_;
  auto headers =
      environment_.protocol.write_headers(request_.head.headers, dispatch_);
  if (!request_.body.empty() || request_.head.method == "POST" ||
      request_.head.method == "PUT" || request_.head.method == "PATCH") {
    headers.push_back({"Content-Length", std::to_string(request_.body.size())});
  }
  endpoint_call_options options;
  options.request =
      RequestHeadText(request_.head.method, request_.head.target, headers) +
      request_.body;
  options.is_head = request_.head.method == "HEAD";
  options.connect_timeout = kConnectTimeout;
  options.silence_timeout = kEndpointSilence;

  spans_.NoteSent(environment_.now());
  answer_ = {};
  answer_body_.clear();
  events_.reset();
  event_reads_ = 0;
  record->NoteStart();
  environment_.NoteSent(*record);
  endpoint_call_hooks hooks;
  // Another answer may have come while the connection was made.
  hooks.may_send = [self = shared_from_this(), record] {
    return record->TakesCalls(self->environment_.now());
  };
  hooks.on_head = [self = shared_from_this()](message_head& head) {
    self->OnHead(head);
  };
  hooks.on_body = [self = shared_from_this()](const std::string& bytes) {
    self->OnBody(bytes);
  };
  hooks.on_end = [self = shared_from_this()](call_outcome outcome) {
    self->OnEnd(outcome);
  };
  environment_.paths.Route(*record, options, hooks);
  is_direct_ = options.via.empty();
  call_ = std::make_shared<endpoint_call>(environment_.context,
                                          std::move(options), std::move(hooks));
  if (route_->MayRepeat()) {
    ArmStallTimer(
        route_->IsStream()
            ? std::max<duration>(
                  kShortestFirstEventStall,
                  Scaled(route_->objective, kFirstEventStallFactor))
            : std::max<duration>(kShortestWholeStall,
                                 Scaled(route_->objective, kWholeStallFactor)));
  }
  call_->Start();
}

void request_run::ArmStallTimer(duration limit) {
  if (!environment_.options.Uses(mechanism::kStallTimers)) {
    return;
  }
  stall_timer_.expires_after(limit);
  stall_timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& error) {
        if (error || self->finished_ || !self->call_) {
          return;
        }
        const bool again = self->MaySendAgain(attempt_failure::kUnknown) &&
                           self->TimeLeft() > self->route_->objective / 2;
        if (again) {
          self->EndAttempt(call_lesson::kFailed);
          self->FailAttempt(attempt_failure::kUnknown, "stalled");
        }
      });
}

bool request_run::IsSuccess() const {
  return answer_.status < kFirstFailure && answer_.status > 0;
}

void request_run::OnHead(message_head& head) {
  const auto facts =
      environment_.protocol.read_answer(head, dispatch_, environment_.now());
  environment_.NoteAnswer(*record_, facts, facts.proven);
  if (!facts.is_to_this_request) {
    EndAttempt(call_lesson::kFailed);
    FailAttempt(attempt_failure::kUnknown, "an answer to another request");
    return;
  }
  if (facts.not_run) {
    if (facts.other_incarnation) {
      record_->MarkGone();
    }
    const auto status = std::to_string(head.status);
    EndAttempt(call_lesson::kRefused);
    FailAttempt(facts.other_incarnation ? attempt_failure::kMoved
                : facts.inputs_gone     ? attempt_failure::kNoInputs
                                        : attempt_failure::kNotRun,
                "refused by the endpoint with " + status);
    return;
  }
  answer_ = head;
  if (IsSuccess() && (!facts.proven || facts.encoded)) {
    EndAttempt(call_lesson::kFailed);
    FailAttempt(attempt_failure::kUnknown, "a success without its proof");
    return;
  }
  if (IsSuccess() && route_->IsStream()) {
    events_.emplace(kMaxEventBytes);
  }
}

void request_run::OnBody(const std::string& bytes) {
  if (!events_) {
    answer_body_ += bytes;
    return;
  }
  const auto events = events_->Feed(bytes);
  // The endpoint has lived on after the first event.
  if (!events.empty() && ++event_reads_ == 2) {
    environment_.on_served(PartDigests());
  }
  if (events_->Overflowed()) {
    EndAttempt(call_lesson::kFailed);
    FailAttempt(attempt_failure::kUnknown, "an event past all bounds");
  } else if (!events.empty()) {
    OnEvents(events);
  }
}

void request_run::OnEvents(const std::vector<whole_event>& events) {
  BeginStream();
  std::string text;
  for (const auto& event : events) {
    // A resumed run may begin before what the caller has already seen.
    if (event.id && last_event_ && *event.id <= *last_event_) {
      continue;
    }
    if (event.id) {
      last_event_ = event.id;
    }
    text += event.text;
  }
  if (finished_) {
    return;  // The caller left while its head was written.
  }
  const time_point now = environment_.now();
  late_pause_ = late_pause_ || (last_event_at_ != time_point{} &&
                                route_->longest_pause > milliseconds(0) &&
                                now - last_event_at_ > route_->longest_pause);
  last_event_at_ = now;
  if (!text.empty()) {
    channel_->Write(std::move(text));
  }
  if (!finished_ && route_->MayRepeat()) {
    ArmStallTimer(std::max<duration>(
        kShortestPauseStall, route_->longest_pause * kPauseStallFactor));
  }
}

/// The head goes out with the first event, so that an endpoint that dies
/// before it can still be replaced without a trace.
void request_run::BeginStream() {
  if (stream_begun_) {
    return;
  }
  stream_begun_ = true;
  if (route_->MayRepeat()) {
    if (!origin_) {
      origin_ = {service_, record_->Info().version};
    }
    environment_.note_stream(StreamId(), *origin_, StreamLife());
  }
  spans_.NoteFirstEvent(environment_.now());
  const duration taken = spans_.SinceSent(environment_.now());
  if (!record_->IsHeldUp(environment_.now())) {
    NoteFirstEvent(taken);
  }
  environment_.metrics.Observe("first_event", route_->name,
                               environment_.now() - request_.arrived);
  channel_->Start(answer_.status,
                  environment_.protocol.answer_headers(answer_.headers));
  // The endpoint reads its inputs before it makes the first event.
  FreeResults();
}

void request_run::NoteFirstEvent(duration taken) {
  record_->NoteSlowness(static_cast<double>(taken.count()) /
                        static_cast<double>(FirstEventTime().count()));
  if (route_->IsStream() && !facts_.last_event && sends_ == 0) {
    environment_.first_events[service_].Note(PromptSize(), taken);
  }
}

void request_run::OnEnd(call_outcome outcome) {
  const bool whole = outcome == call_outcome::kComplete &&
                     !(events_ && events_->InsideEvent());
  if (!whole) {
    const bool unsent = outcome == call_outcome::kNotConnected ||
                        outcome == call_outcome::kNotRelayed;
    if (outcome == call_outcome::kWithdrawn) {
      EndAttempt(call_lesson::kNothing);
      FailAttempt(attempt_failure::kNotSent, "the endpoint takes no calls");
      return;
    }
    const bool unseen = unsent || answer_.status == 0;
    if (is_direct_ && unseen && outcome != call_outcome::kMalformed) {
      environment_.paths.NoteUnreached(record_->Info());
    }
    if (outcome == call_outcome::kBroken) {
      environment_.on_broken(record_->Info(), Suspects());
    }
    EndAttempt(environment_.paths.LessonOf(
        service_, is_direct_, outcome,
        unsent ? call_lesson::kUnreachable : call_lesson::kFailed));
    FailAttempt(unsent ? attempt_failure::kNotSent : attempt_failure::kUnknown,
                unsent ? "not connected" : "broken off");
    return;
  }
  if (answer_.status >= kFirstServerFailure) {
    EndAttempt(call_lesson::kFailed);
    FailAttempt(attempt_failure::kOwnError,
                "failed with " + std::to_string(answer_.status));
    return;
  }
  EndAttempt(call_lesson::kAnswered);
  if (IsSuccess()) {
    environment_.quarantine.NoteAnswer(record_->Info().service,
                                       environment_.now());
    environment_.on_served(PartDigests());
    environment_.on_served({Digest()});
  }
  if (events_) {
    BeginStream();
    if (!finished_) {
      channel_->Finish();
      Finish(request_end::kStreamed);
    }
    return;
  }
  if (!record_->IsHeldUp(environment_.now())) {
    record_->NoteSlowness(
        static_cast<double>(spans_.SinceSent(environment_.now()).count()) /
        static_cast<double>(
            std::max<duration>(route_->objective, milliseconds(1)).count()));
  }
  DeliverWhole();
}

void request_run::EndAttempt(call_lesson lesson) {
  stall_timer_.cancel();
  if (call_) {
    may_have_run_ = may_have_run_ ||
                    (call_->MayHaveLeft() && lesson != call_lesson::kRefused);
    call_->Cancel();
    call_ = nullptr;
    record_->NoteEnd(lesson, environment_.now());
  }
}

bool request_run::MaySendAgain(attempt_failure failure) const {
  if (IsQuarantined()) {
    return false;
  }
  const bool unharmed = failure == attempt_failure::kNotSent ||
                        failure == attempt_failure::kMoved;
  if (unharmed) {
    return moves_ < kMaxMoves && (!may_have_run_ || route_->MayRepeat());
  }
  if (may_have_run_ || failure == attempt_failure::kUnknown ||
      failure == attempt_failure::kOwnError) {
    return route_->MayRepeat() && sends_ + 1 < route_->attempts;
  }
  return sends_ + 1 < route_->attempts;
}

void request_run::FailAttempt(attempt_failure failure,
                              const std::string& detail) {
  environment_.log.Write(
      "attempt_failed",
      {{"request", facts_.id},
       {"content", DigestText(Digest())},
       {"endpoint", dispatch_.endpoint_id},
       {"version", record_->Info().version},
       {"last_event", last_event_.value_or(0)},
       {"detail", detail},
       {"attempt", sends_ + moves_},
       {"may_have_run", may_have_run_},
       {"after_ms",
        WholeMilliseconds(spans_.SinceSent(environment_.now())).count()},
       {"left_ms", TimeLeft().count()}});
  environment_.metrics.Count("attempts_failed", service_);
  const bool again = MaySendAgain(failure);
  if (failure == attempt_failure::kNoInputs) {
    if (MayRestartStages()) {
      RestartStages();
      return;
    }
    GiveUp(failure, detail);
    return;
  }
  // A connection that was never made is no call that the endpoint got.
  const bool counts = failure != attempt_failure::kNotSent;
  if (!again) {
    GiveUp(failure, detail);
    return;
  }
  if (counts && !environment_.repeats.Take(service_, environment_.now())) {
    environment_.metrics.Count("repeats_refused", service_);
    GiveUp(failure, detail + ", and no repeat is left");
    return;
  }
  // An endpoint that this host did not reach may be reached by another.
  const bool cut_off = is_direct_ && environment_.paths.IsCut(service_);
  if (failure != attempt_failure::kNotSent || !cut_off) {
    tried_.push_back(record_->Info().Incarnation());
  }
  if (failure == attempt_failure::kNotSent ||
      failure == attempt_failure::kMoved) {
    ++moves_;
  } else {
    ++sends_;
  }
  // Results are given up with the first event; an endpoint that takes over
  // needs them made again.
  Advance();
}

void request_run::GiveUp(attempt_failure failure, const std::string& detail) {
  if (stream_begun_) {
    Abort(detail);
    return;
  }
  if (failure == attempt_failure::kOwnError) {
    DeliverWhole();
    return;
  }
  // Pieces may be made any number of times: they are no run of the request.
  if (may_have_run_) {
    Refuse({error_kind::kStageFailed, detail});
  } else {
    Refuse({error_kind::kNoEndpoint, detail, ReturnToService()});
  }
}

}  // namespace slatestall
