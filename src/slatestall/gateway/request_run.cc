#include "slatestall/gateway/request_run.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/dispatch/endpoint_pick.h"
#include "slatestall/model/ids.h"
#include "slatestall/relay/message_text.h"
#include "slatestall/serve/problem.h"

namespace slatestall {
namespace {

constexpr milliseconds kConnectTimeout{350};
constexpr milliseconds kEndpointSilence{1200};
constexpr std::size_t kMaxEventBytes = std::size_t{256} << 10U;
constexpr unsigned kMaxStageRestarts = 1;
/// Connections refused or addresses reused: nothing was run, and each try
/// costs a round trip.
constexpr unsigned kMaxMoves = 4;
/// Prefill and first token where nothing better is known. Engines read some 40
/// tokens of a prompt in a millisecond.
constexpr double kTokensPerMillisecond = 40.0;
constexpr milliseconds kFirstTokenTime{60};
/// A whole answer that takes as many times its objective is asked for again
/// elsewhere, where that may be done.
constexpr double kWholeStallFactor = 1.3;
constexpr milliseconds kShortestWholeStall{250};
/// First events come after queueing and prefill; later ones steadily.
constexpr double kFirstEventStallFactor = 2.0;
constexpr milliseconds kShortestFirstEventStall{1800};
constexpr int kPauseStallFactor = 3;
constexpr milliseconds kShortestPauseStall{1000};
/// Callers come back at most this part of their time left after a refusal.
constexpr int kReturnPart = 3;
constexpr milliseconds kShortestReturn{100};
constexpr std::int64_t kSpreadSteps = 64;
/// Less missing from the usual patience of a route's callers is chance.
constexpr milliseconds kReturnSlack{100};
/// A request of an ordinary day is logged in this share, by its id, so that
/// all hosts choose the same ones.
constexpr std::uint64_t kLoggedShare = 16;
/// Bytes of results that are worth a place near them: a quarter of a megabyte
/// costs as much between failure domains as one more connection to an endpoint
/// costs four times over.
constexpr std::uint64_t kManyBytes = std::uint64_t{256} << 10U;
constexpr int kFirstFailure = 400;
constexpr int kFirstServerFailure = 500;

duration Scale(duration value, double factor) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

milliseconds WholeMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

/// The service that takes a request, by weight and the request's id.
std::string ServiceOf(const route& found, const std::string& id) {
  std::uint64_t total = 0;
  for (const auto& part : found.services) {
    total += part.weight;
  }
  if (total == 0) {
    return {};
  }
  std::uint64_t draw = StableHash(id) % total;
  for (const auto& part : found.services) {
    if (draw < part.weight) {
      return part.service;
    }
    draw -= part.weight;
  }
  return found.services.back().service;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

request_run::request_run(gateway_environment& environment,
                         const stage_calls& stages, inbound_request request,
                         answer_channel_ptr channel)
    : environment_(environment),
      stages_(stages),
      request_(std::move(request)),
      channel_(std::move(channel)),
      deadline_timer_(environment.context),
      stall_timer_(environment.context) {}

void request_run::Start() {
  channel_->OnCallerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  if (const auto refused = Admit()) {
    Refuse(*refused);
    return;
  }
  environment_.repeats.NoteRequest(service_, environment_.now());
  environment_.metrics.Count("requests", route_->name);
  deadline_timer_.expires_after(deadline_ - environment_.now());
  deadline_timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& error) {
        if (!error) {
          self->OnDeadline();
        }
      });
  Book();
}

// ---------------------------------------------------------------- Admission

std::optional<request_run::refusal> request_run::Admit() {
  table_ = environment_.table;
  if (!table_) {
    return refusal{error_kind::kNoConfiguration, "no configuration yet",
                   milliseconds(300)};
  }
  try {
    facts_ = environment_.protocol.read_request(request_.head);
  } catch (const request_error& problem) {
    return refusal{problem.Kind(), problem.what()};
  }
  if (auto refused = FindRoute()) {
    return refused;
  }
  if (auto refused = FindWorkspace()) {
    return refused;
  }
  last_event_ = facts_.last_event;
  return CheckTime();
}

std::optional<request_run::refusal> request_run::FindRoute() {
  const auto host = RouteHost(FindHeader(request_.head.headers, "Host"));
  route_ = table_->Find(host, PathOf(request_.head.target));
  if (route_ == nullptr) {
    return refusal{error_kind::kNotFound, "no route for this host and path"};
  }
  service_ = ServiceOf(*route_, facts_.id);
  graph_.emplace(route_->stages, facts_.pieces);
  return std::nullopt;
}

std::optional<request_run::refusal> request_run::FindWorkspace() {
  rank_ = route_->rank;
  if (!table_->needs_keys) {
    return std::nullopt;
  }
  const auto* holder = table_->HolderOf(facts_.key);
  if (holder == nullptr) {
    if (route_->is_public) {
      return std::nullopt;
    }
    return refusal{error_kind::kUnauthorized, "unknown workspace key"};
  }
  workspace_ = holder->name;
  rank_ = holder->rank.value_or(rank_);
  return std::nullopt;
}

/// A request that cannot make its deadline is refused before anything is spent
/// on it: refused late, it would have kept others waiting for nothing.
std::optional<request_run::refusal> request_run::CheckTime() {
  milliseconds limit = route_->timeout;
  if (facts_.patience) {
    limit = std::min(limit, *facts_.patience);
  }
  deadline_ = request_.arrived + limit;
  objective_ = request_.arrived + route_->objective - Elapsed(limit);
  const duration path = PathTime();
  if (environment_.now() + path > deadline_) {
    return refusal{error_kind::kDeadlineUnreachable,
                   "the way to an answer takes " +
                       std::to_string(WholeMilliseconds(path).count()) +
                       " ms now, " + std::to_string(limit.count()) +
                       " ms are left",
                   ReturnTime()};
  }
  return std::nullopt;
}

duration request_run::FirstEventTime() const {
  return kFirstTokenTime +
         std::chrono::duration_cast<duration>(
             std::chrono::duration<double, std::milli>(facts_.prompt_tokens /
                                                       kTokensPerMillisecond));
}

/// Callers measure from their first attempt. One that comes back after a
/// refusal says so only by the time that it has left.
duration request_run::Elapsed(milliseconds limit) const {
  auto& longest = environment_.patience[route_->name];
  longest = std::max(longest, limit);
  const auto elapsed = longest - limit;
  return elapsed > kReturnSlack ? elapsed : milliseconds(0);
}

duration request_run::StageTime(std::size_t stage) const {
  return graph_->Pieces(stage) == 0
             ? duration(0)
             : stages_.usual_time(route_->stages[stage].service);
}

/// From the end of a stage to the first event.
duration request_run::TimeAfter(std::size_t stage) const {
  duration longest = FirstEventTime();
  for (std::size_t i = stage + 1; i < graph_->Size(); ++i) {
    const auto& after = graph_->After(i);
    if (std::find(after.begin(), after.end(), stage) != after.end() &&
        graph_->Pieces(i) > 0) {
      longest = std::max(longest, StageTime(i) + TimeAfter(i));
    }
  }
  return longest;
}

/// From now until a stage can begin.
duration request_run::TimeBefore(std::size_t stage) const {
  duration longest(0);
  for (const auto earlier : graph_->After(stage)) {
    longest = std::max(longest, TimeBefore(earlier) + StageTime(earlier));
  }
  return longest;
}

duration request_run::PathTime() const {
  if (!route_->IsStream()) {
    return duration(0);
  }
  duration longest = FirstEventTime();
  for (std::size_t i = 0; i < graph_->Size(); ++i) {
    if (graph_->Pieces(i) > 0) {
      longest = std::max(longest, StageTime(i) + TimeAfter(i));
    }
  }
  return longest;
}

milliseconds request_run::TimeLeft() const {
  return std::max(milliseconds(0),
                  WholeMilliseconds(deadline_ - environment_.now()));
}

/// Returns are spread over the allowed time, so that those refused in one
/// burst do not make the next.
milliseconds request_run::ReturnTime(milliseconds earliest) const {
  const auto most = TimeLeft() / kReturnPart;
  if (most <= std::max(earliest, kShortestReturn)) {
    return most;
  }
  if (earliest > milliseconds(0)) {
    const auto draw =
        static_cast<std::int64_t>(StableHash(facts_.id) % kSpreadSteps);
    return earliest + (most - earliest) * draw / kSpreadSteps / 2;
  }
  const auto spread =
      StableHash(facts_.id) %
      static_cast<std::uint64_t>((most - kShortestReturn).count() + 1);
  return kShortestReturn + milliseconds(spread);
}

// ------------------------------------------------------------------- Stages

/// Room in all stages is asked for before the first begins: a request that
/// would not get through the last one takes nothing from those that do.
void request_run::Book() {
  if (graph_->AllDone()) {
    Dispatch();
    return;
  }
  std::vector<stage_need> needs;
  std::string chain_domain;
  for (std::size_t i = 0; i < graph_->Size(); ++i) {
    if (graph_->Pieces(i) == 0) {
      continue;
    }
    const auto engine_domain =
        booked_elsewhere_ ? std::string() : EngineDomain(i);
    const auto& near = engine_domain.empty() ? chain_domain : engine_domain;
    const auto shard =
        stages_.shard_for(route_->stages[i].service, facts_.id, near);
    if (engine_domain.empty() && !shard.domain.empty()) {
      chain_domain = shard.domain;
    }
    shards_[i] = shard;
    needs.push_back(NeedOf(i, shard));
    bookings_[i] = needs.back();
  }
  stages_.book(std::move(needs),
               [self = shared_from_this()](const booking_answer& answer) {
                 self->OnBooked(answer);
               });
}

stage_need request_run::NeedOf(std::size_t stage,
                               const stage_shard& shard) const {
  stage_need need;
  need.shard = shard;
  need.booking.request = facts_.id;
  need.booking.stage = static_cast<unsigned>(stage);
  need.booking.pieces = graph_->Pieces(stage);
  need.booking.rank = rank_;
  need.booking.due = environment_.now() + TimeBefore(stage);
  const duration rest = TimeAfter(stage);
  need.booking.useful_by = objective_ - rest;
  need.booking.worthless_after = deadline_ - rest;
  return need;
}

void request_run::OnBooked(const booking_answer& answer) {
  if (finished_) {
    return;
  }
  const bool refused = answer.verdict == booking_verdict::kRefused;
  // A place near the bytes is worth less than an answer in time.
  if (refused && !booked_elsewhere_ && HasChoice()) {
    bookings_.clear();
    booked_elsewhere_ = true;
    Book();
    return;
  }
  if (!refused) {
    Advance();
    return;
  }
  bookings_.clear();
  Refuse({error_kind::kOverloaded, "a stage has no room for it in time",
          ReturnTime(WholeMilliseconds(answer.room_after))});
}

/// Whether some stage could be made in another failure domain.
bool request_run::HasChoice() const {
  return std::any_of(shards_.begin(), shards_.end(), [](const auto& item) {
    return !item.second.domain.empty();
  });
}

void request_run::ReleaseBookings() {
  std::vector<stage_need> needs;
  for (auto& [stage, need] : bookings_) {
    needs.push_back(std::move(need));
  }
  bookings_.clear();
  if (!needs.empty()) {
    stages_.release(needs);
  }
}

void request_run::Advance() {
  if (graph_->AllDone()) {
    Dispatch();
    return;
  }
  for (const auto stage : graph_->TakeReady()) {
    BeginStage(stage);
  }
}

void request_run::BeginStage(std::size_t stage) {
  piece_group group;
  group.request = facts_.id;
  group.stage = static_cast<unsigned>(stage);
  group.pieces = graph_->Pieces(stage);
  group.inputs = graph_->InputsOf(stage);
  if (group.inputs.empty()) {
    group.key = facts_.piece_key;
  }
  group.rank = rank_;
  const duration rest = TimeAfter(stage);
  group.useful_by = objective_ - rest;
  group.worthless_after = deadline_ - rest;
  const auto* rule = table_->Service(route_->stages[stage].service);
  if (!group.inputs.empty() && rule != nullptr && rule->batches) {
    // Made later, it would find its inputs dropped.
    group.worthless_after =
        std::min(group.worthless_after,
                 environment_.now() + rule->batches->keep_time * 3 / 4);
  }
  group.result_bytes = route_->stages[stage].result_bytes;
  group.near = PlaceOf(stage, group);
  bookings_.erase(stage);
  const auto number =
      stages_.submit(shards_.at(stage), std::move(group),
                     [self = shared_from_this(), stage](stage_outcome outcome) {
                       if (!self->finished_) {
                         self->OnStage(stage, std::move(outcome));
                       }
                     });
  running_stages_.emplace_back(stage, number);
}

/// Failure domain in which most of these results lie.
std::string request_run::DomainOf(
    const std::vector<std::string>& handles) const {
  std::map<std::string, std::size_t> counts;
  std::string most;
  for (const auto& handle : handles) {
    const auto record =
        environment_.roster.FindAt(environment_.protocol.keeper_of(handle));
    if (!record) {
      continue;
    }
    const auto& domain = record->Info().failure_domain;
    ++counts[domain];
    if (most.empty() || counts[domain] > counts[most]) {
      most = domain;
    }
  }
  return most;
}

/// Bytes between failure domains are dear. Pieces that read much are best made
/// where it lies; large results of a last stage where the engine is that keeps
/// the request's prompt.
std::string request_run::PlaceOf(std::size_t stage,
                                 const piece_group& group) const {
  std::uint64_t input_bytes = 0;
  for (const auto earlier : graph_->After(stage)) {
    input_bytes +=
        route_->stages[earlier].result_bytes * graph_->Pieces(earlier);
  }
  if (!group.inputs.empty()) {
    return input_bytes * group.pieces >= kManyBytes ? DomainOf(group.inputs)
                                                    : std::string();
  }
  return EngineDomain(stage);
}

/// Failure domain of the engine that keeps the request's prompt, for a stage
/// that hands large results to it.
std::string request_run::EngineDomain(std::size_t stage) const {
  const auto bytes = route_->stages[stage].result_bytes * graph_->Pieces(stage);
  if (graph_->Height(stage) > 1 || bytes < kManyBytes) {
    return {};
  }
  pick_request pick;
  pick.now = environment_.now();
  pick.shared_prompt = SharedPrompt();
  const auto engine = PickEndpoint(environment_.roster.Of(service_), pick);
  return engine ? engine->Info().failure_domain : std::string();
}

std::uint64_t request_run::FinalBytes() const {
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < graph_->Size(); ++i) {
    if (graph_->Height(i) == 1) {
      bytes += route_->stages[i].result_bytes * graph_->Pieces(i);
    }
  }
  return bytes;
}

void request_run::OnStage(std::size_t stage, stage_outcome outcome) {
  std::erase_if(running_stages_,
                [&](const auto& running) { return running.first == stage; });
  switch (outcome.end) {
    case stage_end::kMade:
      graph_->SetDone(stage, std::move(outcome.handles));
      stages_.free(graph_->SpentBy(stage));
      Advance();
      return;
    case stage_end::kInputsGone:
      if (stage_restarts_ < kMaxStageRestarts) {
        RestartStages();
        return;
      }
      break;
    case stage_end::kTooLate:
    case stage_end::kFailed:
      break;
  }
  GiveUp(attempt_failure::kNotRun,
         "stage " + std::to_string(stage) + " could not be made");
}

void request_run::RestartStages() {
  ++stage_restarts_;
  for (const auto& [stage, number] : running_stages_) {
    stages_.cancel(number);
  }
  running_stages_.clear();
  stages_.free(graph_->AllHandles());
  graph_->Reset();
  environment_.log.Write("stages_restarted", {{"request", facts_.id},
                                              {"left_ms", TimeLeft().count()}});
  Advance();
}

// ----------------------------------------------------------------- Attempts

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

std::uint64_t request_run::SharedPrompt() const {
  if (facts_.prompt.size() < 2) {
    return 0;
  }
  return StableHash(facts_.prompt[facts_.prompt.size() - 2].id) | 1U;
}

void request_run::Dispatch() {
  if (sends_ == 0) {
    if (const auto refused = StillAllowed()) {
      Refuse(*refused);
      return;
    }
  }
  pick_request pick;
  pick.now = environment_.now();
  pick.shared_prompt = SharedPrompt();
  pick.tried = tried_;
  if (FinalBytes() >= kManyBytes) {
    pick.near = DomainOf(graph_->FinalInputs());
  }
  const auto record = PickEndpoint(environment_.roster.Of(service_), pick);
  if (!record) {
    GiveUp(attempt_failure::kNotRun, "no endpoint of the service is left");
    return;
  }
  Send(record);
}

void request_run::Send(const endpoint_record_ptr& record) {
  record_ = record;
  dispatch_.request = facts_.id;
  dispatch_.incarnation = record->Info().id;
  dispatch_.workspace = workspace_;
  dispatch_.time_left = TimeLeft();
  dispatch_.inputs = graph_->FinalInputs();
  dispatch_.resume_after = last_event_;
  dispatch_.rank = rank_;
  auto headers =
      environment_.protocol.write_headers(request_.head.headers, dispatch_);
  if (!request_.body.empty() || request_.head.method == "POST" ||
      request_.head.method == "PUT" || request_.head.method == "PATCH") {
    headers.push_back({"Content-Length", std::to_string(request_.body.size())});
  }
  endpoint_call_options options;
  options.to = record->Info().address;
  options.request =
      RequestHeadText(request_.head.method, request_.head.target, headers) +
      request_.body;
  options.is_head = request_.head.method == "HEAD";
  options.connect_timeout = kConnectTimeout;
  options.silence_timeout = kEndpointSilence;

  sent_ = environment_.now();
  answer_ = {};
  answer_body_.clear();
  events_.reset();
  record->NoteStart();
  endpoint_call_hooks hooks;
  hooks.on_head = [self = shared_from_this()](message_head& head) {
    self->OnHead(head);
  };
  hooks.on_body = [self = shared_from_this()](const std::string& bytes) {
    self->OnBody(bytes);
  };
  hooks.on_end = [self = shared_from_this()](call_outcome outcome) {
    self->OnEnd(outcome);
  };
  call_ = std::make_shared<endpoint_call>(environment_.context,
                                          std::move(options), std::move(hooks));
  if (route_->MayRepeat()) {
    ArmStallTimer(
        route_->IsStream()
            ? std::max<duration>(
                  kShortestFirstEventStall,
                  Scale(route_->objective, kFirstEventStallFactor))
            : std::max<duration>(kShortestWholeStall,
                                 Scale(route_->objective, kWholeStallFactor)));
  }
  call_->Start();
}

void request_run::ArmStallTimer(duration limit) {
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
  if (facts.load) {
    record_->NoteLoad(*facts.load);
  }
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
  record_->NoteSlowness(
      static_cast<double>((environment_.now() - sent_).count()) /
      static_cast<double>(FirstEventTime().count()));
  environment_.metrics.Observe("first_event", route_->name,
                               environment_.now() - request_.arrived);
  channel_->Start(answer_.status,
                  environment_.protocol.answer_headers(answer_.headers));
  // The endpoint reads its inputs before it makes the first event.
  FreeResults();
}

void request_run::OnEnd(call_outcome outcome) {
  const bool whole = outcome == call_outcome::kComplete &&
                     !(events_ && events_->InsideEvent());
  if (!whole) {
    const bool unsent = outcome == call_outcome::kNotConnected;
    EndAttempt(unsent ? call_lesson::kUnreachable : call_lesson::kFailed);
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
  if (events_) {
    BeginStream();
    if (!finished_) {
      channel_->Finish();
      Finish("streamed");
    }
    return;
  }
  record_->NoteSlowness(
      static_cast<double>((environment_.now() - sent_).count()) /
      static_cast<double>(
          std::max<duration>(route_->objective, milliseconds(1)).count()));
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
       {"endpoint", dispatch_.incarnation},
       {"detail", detail},
       {"attempt", sends_ + moves_},
       {"may_have_run", may_have_run_},
       {"after_ms", WholeMilliseconds(environment_.now() - sent_).count()},
       {"left_ms", TimeLeft().count()}});
  environment_.metrics.Count("attempts_failed", service_);
  const bool again = MaySendAgain(failure);
  if (failure == attempt_failure::kNoInputs) {
    if (stage_restarts_ < kMaxStageRestarts) {
      RestartStages();
      return;
    }
    GiveUp(failure, detail);
    return;
  }
  // A connection that was never made is no call that the endpoint got.
  const bool counts = failure != attempt_failure::kNotSent;
  if (!again ||
      (counts && !environment_.repeats.Take(service_, environment_.now()))) {
    GiveUp(failure, detail);
    return;
  }
  tried_.push_back(dispatch_.incarnation);
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
    Refuse({error_kind::kNoEndpoint, detail, ReturnTime()});
  }
}

// ------------------------------------------------------------------ The end

void request_run::DeliverWhole() {
  channel_->Send(answer_.status,
                 environment_.protocol.answer_headers(answer_.headers),
                 std::move(answer_body_));
  environment_.metrics.Observe("answer", route_->name,
                               environment_.now() - request_.arrived);
  Finish("answered");
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
       {"endpoint", dispatch_.incarnation},
       {"after_ms",
        WholeMilliseconds(environment_.now() - request_.arrived).count()}});
  environment_.metrics.Count("refused", AnswerFor(why.kind).name);
  Finish("refused");
}

void request_run::Abort(const std::string& why) {
  environment_.log.Write("stream_cut", {{"request", facts_.id},
                                        {"route", route_->name},
                                        {"endpoint", dispatch_.incarnation},
                                        {"detail", why},
                                        {"last_event", last_event_.value_or(0)},
                                        {"left_ms", TimeLeft().count()}});
  environment_.metrics.Count("streams_cut", route_->name);
  channel_->Abort();
  Finish("cut");
}

void request_run::OnCallerGone() {
  if (finished_) {
    return;
  }
  EndAttempt(call_lesson::kNothing);
  environment_.metrics.Count("callers_gone",
                             route_ != nullptr ? route_->name : "");
  Finish("caller gone");
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

void request_run::FreeResults() {
  if (graph_) {
    stages_.free(graph_->AllHandles());
    graph_->Reset();
  }
}

void request_run::Finish(std::string_view outcome) {
  if (finished_) {
    return;
  }
  finished_ = true;
  for (const auto& [stage, number] : running_stages_) {
    stages_.cancel(number);
  }
  running_stages_.clear();
  ReleaseBookings();
  FreeResults();
  deadline_timer_.cancel();
  stall_timer_.cancel();
  const bool ordinary = outcome == "answered" || outcome == "streamed";
  if (route_ != nullptr &&
      (!ordinary || sends_ > 0 || StableHash(facts_.id) % kLoggedShare == 0)) {
    environment_.log.Write(
        "request_done",
        {{"request", facts_.id},
         {"route", route_->name},
         {"outcome", outcome},
         {"status", answer_.status},
         {"endpoint", dispatch_.incarnation},
         {"attempts", sends_ + moves_ + 1},
         {"configuration", table_->version},
         {"late", environment_.now() > deadline_},
         {"after_ms",
          WholeMilliseconds(environment_.now() - request_.arrived).count()}});
  }
  channel_ = nullptr;
}

}  // namespace slatestall
