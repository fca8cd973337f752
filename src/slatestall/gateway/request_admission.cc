// What is decided of a request before anything is spent on it.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/gateway/request_run.h"
#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// Part of a route's objective that the first event is taken to need, after
/// the stages, until the service's speed is known.
constexpr int kUnknownFirstEventPart = 4;
/// Callers come back at most this part of their time left after a refusal.
constexpr int kReturnPart = 3;
constexpr milliseconds kShortestReturn{100};
/// Where the caller's patience cannot be read.
constexpr milliseconds kReturnOtherwise{300};
/// Other hosts take the request at once: nothing has to pass first. Spread, so
/// that callers of many hosts that stop together do not meet on the others.
constexpr milliseconds kReturnFromStop{50};
constexpr milliseconds kLatestReturnFromStop{150};
/// Callers wait two seconds or so at the most: steps of some 2 ms.
constexpr std::int64_t kSpreadSteps = 1024;

/// A time from `least` to `most`, always the same for one request.
milliseconds SpreadBetween(milliseconds least, milliseconds most,
                           const std::string& id) {
  const auto draw = static_cast<std::int64_t>(
      StableHash(id) % static_cast<std::uint64_t>(kSpreadSteps));
  return least + (most - least) * draw / kSpreadSteps;
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

}  // namespace

std::optional<request_run::refusal> request_run::Identify() {
  table_ = environment_.table;
  if (!table_ && environment_.stop) {
    return HostStops();
  }
  if (!table_) {
    return refusal{error_kind::kNoConfiguration, "no configuration yet",
                   ReturnWithoutConfiguration()};
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
  if (const auto causes = QuarantinedBy(); !causes.empty()) {
    // Of two causes the trial of one would run the other as well.
    is_trial_ = causes.size() == 1 && environment_.quarantine.TakeTrial(
                                          causes.front(), environment_.now());
    if (!is_trial_) {
      return Quarantined();
    }
  }
  last_event_ = facts_.last_event;
  SetTimes();
  return std::nullopt;
}

std::optional<request_run::refusal> request_run::CheckAdmission() const {
  if (auto refused = CheckStop()) {
    return refused;
  }
  if (auto refused = CheckEndpoints()) {
    return refused;
  }
  return CheckTime();
}

bool request_run::TakesUpAStream() const {
  return route_->kind == route_kind::kResumableStream &&
         (last_event_ || !facts_.resumes.empty());
}

const std::string& request_run::StreamId() const {
  return facts_.resumes.empty() ? facts_.id : facts_.resumes;
}

/// Callers take a stream up again within the time that they wait, of which
/// they tell at each attempt only what is left.
milliseconds request_run::StreamLife() const {
  constexpr int kAttempts = 2;
  return kAttempts *
         std::max(route_->timeout, facts_.patience.value_or(milliseconds(0)));
}

void request_run::FindOrigin() {
  if (facts_.resumes.empty()) {
    FindOnlyVersion();
    return;
  }
  environment_.find_stream(facts_.resumes,
                           [self = shared_from_this()](const auto& origin) {
                             if (self->finished_) {
                               return;
                             }
                             if (origin) {
                               self->TakeOrigin(*origin, "note");
                             } else {
                               self->FindOnlyVersion();
                             }
                           });
}

/// Without a note of its origin a stream may go on only where no host can have
/// begun it at another version. The list is read on another thread, which must
/// not be the one that ends this run.
void request_run::FindOnlyVersion() {
  environment_.find_only_version(
      service_, StreamLife(), [weak = weak_from_this()](const auto& version) {
        const auto self = weak.lock();
        if (!self || self->finished_) {
          return;
        }
        if (version) {
          self->TakeOrigin({self->service_, *version}, "list");
        } else {
          self->Refuse(
              {error_kind::kNoEndpoint,
               "the software version that began the stream is not known"});
        }
      });
}

void request_run::TakeOrigin(const stream_origin& origin, const char* source) {
  environment_.log.Write("stream_resumed", {{"request", facts_.id},
                                            {"stream", StreamId()},
                                            {"service", origin.service},
                                            {"version", origin.version},
                                            {"source", source}});
  const auto& services = route_->services;
  if (std::none_of(services.begin(), services.end(), [&](const auto& part) {
        return part.service == origin.service;
      })) {
    Refuse({error_kind::kNoEndpoint, "the stream began at service \"" +
                                         origin.service +
                                         "\", which the route no longer uses"});
    return;
  }
  origin_ = origin;
  service_ = origin.service;
  Admit();
}

/// Requests wait while a host starts. One that has no configuration after that
/// waits for the store, whose outages last for seconds: callers who came back
/// at once would use up their return in the same outage.
milliseconds request_run::ReturnWithoutConfiguration() const {
  try {
    const auto facts = environment_.protocol.read_request(request_.head);
    const auto most = facts.patience.value_or(kReturnOtherwise) / kReturnPart;
    return SpreadBetween(most / 2, most, facts.id);
  } catch (const request_error&) {
    return kReturnOtherwise;  // It is refused as malformed next time.
  }
}

std::optional<request_run::refusal> request_run::FindRoute() {
  const auto host = RouteHost(FindHeader(request_.head.headers, "Host"));
  route_ = table_->Find(host, PathOf(request_.head.target));
  if (route_ == nullptr) {
    return refusal{error_kind::kNotFound, "no route for this host and path"};
  }
  service_ = ServiceOf(*route_, StreamId());
  graph_.emplace(route_->stages, facts_.pieces);
  return std::nullopt;
}

std::optional<request_run::refusal> request_run::FindWorkspace() {
  rank_ = route_->rank;
  regions_ = route_->regions;
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
  regions_ = regions_.And(holder->regions);
  return std::nullopt;
}

bool request_run::IsQuarantined() const { return !QuarantinedBy().empty(); }

std::vector<request_digest> request_run::QuarantinedBy() const {
  const auto& quarantine = environment_.quarantine;
  std::vector<request_digest> causes;
  if (quarantine.IsEmpty()) {
    return causes;
  }
  const auto add = [&](request_digest digest) {
    if (quarantine.Refuses(digest, environment_.now())) {
      causes.push_back(digest);
    }
  };
  add(Digest());
  std::for_each(PartDigests().begin(), PartDigests().end(), add);
  return causes;
}

/// It would meet the same answer wherever it came again, so that no time to
/// come back is told.
request_run::refusal request_run::Quarantined() const {
  const auto causes = QuarantinedBy();
  const auto cause = causes.empty() ? Digest() : causes.front();
  return {error_kind::kQuarantined,
          std::string("endpoints have crashed under ") +
              (IsOfPart(cause) ? "a part of its prompt, " : "content ") +
              DigestText(cause)};
}

void request_run::SetTimes() {
  milliseconds limit = route_->timeout;
  if (facts_.patience) {
    limit = std::min(limit, *facts_.patience);
  }
  deadline_ = request_.arrived + limit;
  objective_ = request_.arrived + route_->objective - Elapsed();
}

/// Where a service has nothing but endpoints that take no work, its stages
/// would be made in vain.
std::optional<request_run::refusal> request_run::CheckEndpoints() const {
  const auto lacks = [this](const std::string& service) {
    return !environment_.roster.HasUsable(
        service, [this](const auto& endpoint) { return IsInRegion(endpoint); });
  };
  const auto refused = [](const std::string& service, milliseconds back) {
    return refusal{
        error_kind::kNoEndpoint,
        "service \"" + service + "\" has no endpoint that may take it", back};
  };
  const auto& engines = environment_.roster.Of(service_);
  const time_point sent_at = environment_.now() + TimeOfStages();
  const bool may_be_sent =
      std::any_of(engines.begin(), engines.end(), [&](const auto& record) {
        return record->TakesCalls(sent_at) && MayUse(record->Info()) &&
               environment_.MayCallSoon(*record);
      });
  if (!may_be_sent) {
    return refused(service_, ReturnToService());
  }
  for (std::size_t i = 0; i < graph_->Size(); ++i) {
    const auto& service = route_->stages[i].service;
    if (graph_->Pieces(i) > 0 && lacks(service)) {
      return refused(service, ReturnTime());
    }
  }
  return std::nullopt;
}

/// A request that cannot make its deadline is refused before anything is spent
/// on it: refused late, it would have kept others waiting for nothing.
std::optional<request_run::refusal> request_run::CheckTime() const {
  const duration path = PathTime();
  if (environment_.now() + path > deadline_) {
    return refusal{error_kind::kDeadlineUnreachable,
                   "the way to an answer takes " +
                       std::to_string(WholeMilliseconds(path).count()) +
                       " ms now, " + std::to_string(TimeLeft().count()) +
                       " ms are left",
                   ReturnTime()};
  }
  return std::nullopt;
}

/// Connections outlive the moment at which a stopping host takes no new ones:
/// a stream whose head went out before keeps its own open, and the caller's
/// next request comes on it. Taken without regard to the host's end, it was cut
/// in the middle of its answer. Refused here it has cost nothing, and the
/// caller comes back on a new connection, to another host.
std::optional<request_run::refusal> request_run::CheckStop() const {
  const auto& stop = environment_.stop;
  if (!stop) {
    return std::nullopt;
  }
  const auto known = environment_.answers.find(route_->name);
  const auto longest = known == environment_.answers.end()
                           ? std::nullopt
                           : known->second.Value();
  const time_point likely_end =
      longest ? request_.arrived + *longest : deadline_;
  if (stop->Allows(environment_.now(), deadline_, likely_end)) {
    return std::nullopt;
  }
  return HostStops();
}

request_run::refusal request_run::HostStops() const {
  return {error_kind::kDraining, "the host stops before its answer ends",
          SpreadBetween(kReturnFromStop, kLatestReturnFromStop, facts_.id)};
}

duration request_run::FirstEventTime() const {
  const duration otherwise = route_->objective / kUnknownFirstEventPart;
  const auto learnt = environment_.first_events.find(service_);
  return learnt == environment_.first_events.end() ||
                 !environment_.options.Uses(mechanism::kLearntFirstEvent)
             ? otherwise
             : learnt->second.Expected(PromptSize(), otherwise);
}

/// The last part of a prompt is the request's own.
prompt_size request_run::PromptSize() const {
  prompt_size size;
  for (std::size_t i = 0; i + 1 < facts_.prompt.size(); ++i) {
    size.shared_tokens += facts_.prompt[i].tokens;
  }
  size.own_tokens =
      facts_.prompt_tokens - std::min(size.shared_tokens, facts_.prompt_tokens);
  return size;
}

/// Callers measure from their first attempt. One that comes back after a
/// refusal says so only by the time that it has left.
duration request_run::Elapsed() const {
  if (!facts_.patience ||
      !environment_.options.Uses(mechanism::kUsualPatience)) {
    return duration(0);
  }
  auto& usual = environment_.patience[route_->name];
  const auto elapsed = usual.Elapsed(*facts_.patience);
  usual.Note(*facts_.patience);
  return elapsed;
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

/// Until the request is sent to an endpoint of its service.
duration request_run::TimeOfStages() const {
  return route_->IsStream() ? PathTime() - FirstEventTime() : duration(0);
}

milliseconds request_run::TimeLeft() const {
  return std::max(milliseconds(0),
                  WholeMilliseconds(deadline_ - environment_.now()));
}

/// Returns are spread over the allowed time, so that those refused in one
/// burst do not make the next. A caller is never sent back before there is
/// room: it would be refused again.
milliseconds request_run::ReturnTime(milliseconds earliest) const {
  const auto most = TimeLeft() / kReturnPart;
  if (!environment_.options.Uses(mechanism::kSpreadReturns)) {
    return std::max(std::min(most, kShortestReturn), earliest);
  }
  if (most <= std::max(earliest, kShortestReturn)) {
    return std::max(most, earliest);
  }
  if (earliest > milliseconds(0)) {
    return SpreadBetween(earliest, earliest + (most - earliest) / 2, facts_.id);
  }
  return SpreadBetween(kShortestReturn, most, facts_.id);
}

/// Not before an endpoint of the service takes calls.
milliseconds request_run::ReturnToService() const {
  const auto opens = environment_.roster.OpensAt(
      service_, [this](const auto& endpoint) { return MayUse(endpoint); });
  const auto wait = opens ? *opens - environment_.now() : duration(0);
  return ReturnTime(
      std::max(std::chrono::ceil<milliseconds>(wait), milliseconds(0)));
}

}  // namespace slatestall
