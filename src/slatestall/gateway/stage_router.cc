#include "slatestall/gateway/stage_router.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "slatestall/dispatch/home_ranking.h"
#include "slatestall/model/ids.h"
#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{50};
constexpr milliseconds kStatusTimeout{1000};
/// On top of the time after which results are worthless.
constexpr milliseconds kReplySlack{200};
/// Endpoints that one home forms calls for. Up to there one queue for all of a
/// service keeps them best filled; beyond, each failure domain has its own.
constexpr std::size_t kMostPerHome = 8;
/// An order is placed anew as often at most; each time a home was lost.
constexpr unsigned kMaxPlacements = 4;

milliseconds WholeMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

std::string ShardName(const stage_shard& shard) {
  return shard.service + "/" + shard.domain;
}

wire::submit_piecesT ToWire(const stage_shard& shard, const piece_group& group,
                            time_point now) {
  wire::submit_piecesT submit;
  submit.service = shard.service;
  submit.domain = shard.domain;
  submit.request = group.request;
  submit.stage = static_cast<std::uint16_t>(group.stage);
  submit.pieces = static_cast<std::uint16_t>(group.pieces);
  submit.key = group.key;
  submit.inputs = group.inputs;
  submit.rank = static_cast<std::int16_t>(group.rank);
  submit.useful_ms = static_cast<std::int32_t>(
      WholeMilliseconds(group.useful_by - now).count());
  submit.worthless_ms = static_cast<std::int32_t>(
      WholeMilliseconds(group.worthless_after - now).count());
  submit.near = group.near;
  submit.result_bytes = group.result_bytes;
  return submit;
}

piece_group FromWire(const wire::submit_piecesT& submit, time_point now) {
  piece_group group;
  group.request = submit.request;
  group.stage = submit.stage;
  group.pieces = submit.pieces;
  group.key = submit.key;
  group.inputs = submit.inputs;
  group.rank = submit.rank;
  group.useful_by = now + milliseconds(submit.useful_ms);
  group.worthless_after = now + milliseconds(submit.worthless_ms);
  group.near = submit.near;
  group.result_bytes = submit.result_bytes;
  return group;
}

wire::pieces_end ToWire(stage_end end) {
  switch (end) {
    case stage_end::kMade:
      return wire::pieces_end::made;
    case stage_end::kTooLate:
      return wire::pieces_end::too_late;
    case stage_end::kInputsGone:
      return wire::pieces_end::inputs_gone;
    case stage_end::kFailed:
      break;
  }
  return wire::pieces_end::failed;
}

stage_end FromWire(wire::pieces_end end) {
  switch (end) {
    case wire::pieces_end::made:
      return stage_end::kMade;
    case wire::pieces_end::too_late:
      return stage_end::kTooLate;
    case wire::pieces_end::inputs_gone:
      return stage_end::kInputsGone;
    case wire::pieces_end::failed:
      break;
  }
  return stage_end::kFailed;
}

}  // namespace

/// Pieces of one of this host's requests, on their way.
struct stage_router::order {
  stage_number number = 0;
  stage_shard shard;
  piece_group group;
  std::function<void(stage_outcome)> done;
  std::string host;        ///< Where it is now.
  stage_number local = 0;  ///< At the own home, where it is there.
  unsigned placements = 0;
};

stage_router::stage_router(gateway_environment& environment, stage_home& home,
                           peer_node& peers)
    : environment_(environment),
      home_(home),
      peers_(peers),
      self_(environment.options.host_name),
      hosts_({self_}),
      tick_(environment.context) {
  ServePeers();
  Tick();
}

stage_router::~stage_router() = default;

stage_calls stage_router::Calls() {
  stage_calls calls;
  calls.submit = [this](const std::string& service, piece_group group,
                        std::function<void(stage_outcome)> done) {
    return Submit(service, std::move(group), std::move(done));
  };
  calls.cancel = [this](stage_number number) { Cancel(number); };
  calls.free = [this](const std::vector<std::string>& handles) {
    Free(handles);
  };
  calls.expected_wait = [this](const std::string& service, int) {
    return ExpectedWait(service);
  };
  return calls;
}

// ------------------------------------------------------------------ Homes

void stage_router::SetHosts(std::vector<peer_address> hosts) {
  std::vector<peer_address> others;
  hosts_ = {self_};
  for (auto& host : hosts) {
    if (host.host != self_) {
      hosts_.push_back(host.host);
      others.push_back(std::move(host));
    }
  }
  rankings_.clear();
  health_.Keep(hosts_);
  peers_.SetPeers(others);
}

void stage_router::Refresh() {
  rankings_.clear();
  home_.Refresh();
}

std::vector<std::string> stage_router::DomainsOf(
    const std::string& service) const {
  std::set<std::string> domains;
  std::size_t usable = 0;
  for (const auto& record : environment_.roster.Of(service)) {
    if (record->Usable()) {
      domains.insert(record->Info().failure_domain);
      ++usable;
    }
  }
  if (usable <= kMostPerHome) {
    return {std::string()};
  }
  return {domains.begin(), domains.end()};
}

std::vector<stage_shard> stage_router::Shards() const {
  std::vector<stage_shard> shards;
  if (!environment_.table) {
    return shards;
  }
  for (const auto& [name, rule] : environment_.table->services) {
    if (rule.batches) {
      for (auto& domain : DomainsOf(name)) {
        shards.push_back({name, std::move(domain)});
      }
    }
  }
  return shards;
}

const std::vector<std::string>& stage_router::Ranked(
    const stage_shard& shard) const {
  const auto found = rankings_.find(shard);
  if (found != rankings_.end()) {
    return found->second;
  }
  return rankings_[shard] = RankHomes(ShardName(shard), hosts_);
}

std::string stage_router::HomeOf(const stage_shard& shard) const {
  for (const auto& host : Ranked(shard)) {
    if (host == self_ ? !draining_ : health_.IsTrusted(host)) {
      return host;
    }
  }
  return self_;
}

/// Pieces that wait for each endpoint of a shard.
double stage_router::Crowding(const stage_shard& shard) const {
  std::size_t endpoints = 0;
  for (const auto& record : environment_.roster.Of(shard.service)) {
    const auto& info = record->Info();
    const bool belongs =
        shard.domain.empty() || shard.domain == info.failure_domain;
    endpoints += belongs && record->Usable() ? 1 : 0;
  }
  const auto told = told_waiting_.find(shard);
  const auto waiting = told == told_waiting_.end()
                           ? 0.0
                           : static_cast<double>(told->second.second);
  return waiting / std::max(0.5, static_cast<double>(endpoints));
}

/// The shard of the failure domain where the pieces are best made, unless it
/// is far more crowded than another; then, or where none is best, the less
/// crowded of two that the request's id picks.
stage_shard stage_router::ShardFor(const std::string& service,
                                   const piece_group& group) const {
  const auto domains = DomainsOf(service);
  if (domains.size() < 2) {
    return {service, domains.empty() ? std::string() : domains.front()};
  }
  const auto draw = StableHash(group.request);
  const auto& one = domains[draw % domains.size()];
  const auto& other = domains[(draw / domains.size()) % domains.size()];
  const stage_shard first{service, one};
  const stage_shard second{service, other};
  const auto& calmer = Crowding(second) < Crowding(first) ? second : first;
  const bool near_exists =
      std::find(domains.begin(), domains.end(), group.near) != domains.end();
  if (!near_exists) {
    return calmer;
  }
  const stage_shard near{service, group.near};
  const auto* rule = environment_.table->Service(service);
  const double full_calls =
      rule != nullptr && rule->batches ? rule->batches->most_pieces : 1.0;
  return Crowding(near) > full_calls + Crowding(calmer) ? calmer : near;
}

duration stage_router::ExpectedWait(const std::string& service) const {
  const auto* rule =
      environment_.table ? environment_.table->Service(service) : nullptr;
  if (rule == nullptr || !rule->batches) {
    return duration(0);
  }
  const auto& batches = *rule->batches;
  double least = -1;
  for (const auto& domain : DomainsOf(service)) {
    const double crowding = Crowding({service, domain});
    least = least < 0 ? crowding : std::min(least, crowding);
  }
  const duration full_call =
      batches.call_time +
      batches.piece_time * static_cast<duration::rep>(batches.most_pieces);
  return duration(
      static_cast<duration::rep>(std::max(0.0, least) / batches.most_pieces *
                                 static_cast<double>(full_call.count())));
}

// ----------------------------------------------------------------- Orders

stage_number stage_router::Submit(const std::string& service, piece_group group,
                                  std::function<void(stage_outcome)> done) {
  const auto placed = std::make_shared<order>();
  placed->number = next_number_++;
  placed->shard = ShardFor(service, group);
  placed->group = std::move(group);
  placed->done = std::move(done);
  orders_[placed->number] = placed;
  Place(placed);
  return placed->number;
}

void stage_router::Place(const order_ptr& placed) {
  ++placed->placements;
  placed->host = HomeOf(placed->shard);
  placed->local = 0;
  if (placed->host == self_ || placed->placements > kMaxPlacements) {
    placed->host = self_;
    placed->local = home_.Submit(placed->shard, placed->group,
                                 [this, placed](stage_outcome outcome) {
                                   OnLocal(placed, std::move(outcome));
                                 });
    return;
  }
  PlaceAt(placed->host, placed);
}

void stage_router::PlaceAt(const std::string& host, const order_ptr& placed) {
  const time_point now = environment_.now();
  const auto timeout = std::max(
      kReplySlack,
      WholeMilliseconds(placed->group.worthless_after - now) + kReplySlack);
  peers_.Call(host, MakeMessage(ToWire(placed->shard, placed->group, now)),
              timeout, [this, placed, host](const peer_reply& reply) {
                OnReply(placed, host, reply);
              });
}

void stage_router::OnReply(const order_ptr& placed, const std::string& host,
                           const peer_reply& reply) {
  const auto* made = reply.end == peer_call_end::kReplied
                         ? reply.body.Assubmit_pieces_reply()
                         : nullptr;
  // Cancelled, or placed anew meanwhile: what that home made is of no use.
  if (!placed->done || placed->host != host) {
    if (made != nullptr && !made->handles.empty()) {
      Free(made->handles);
    }
    return;
  }
  if (made != nullptr) {
    stage_outcome outcome;
    outcome.end = FromWire(made->end);
    outcome.handles = made->handles;
    const bool whole = outcome.end != stage_end::kMade ||
                       outcome.handles.size() == placed->group.pieces;
    if (!whole) {
      outcome.end = stage_end::kFailed;
    }
    Conclude(placed, std::move(outcome));
    return;
  }
  environment_.log.Write("home_lost_pieces",
                         {{"request", placed->group.request},
                          {"stage", placed->group.stage},
                          {"home", host},
                          {"detail", reply.detail}});
  if (environment_.now() > placed->group.worthless_after) {
    Conclude(placed, {stage_end::kTooLate, {}});
    return;
  }
  Lose(host, "a call failed");
  // Others may have been placed anew by that already.
  if (placed->host == host) {
    Place(placed);
  }
}

void stage_router::OnLocal(const order_ptr& placed, stage_outcome outcome) {
  if (placed->done) {
    Conclude(placed, std::move(outcome));
  }
}

void stage_router::Conclude(const order_ptr& placed, stage_outcome outcome) {
  orders_.erase(placed->number);
  const auto done = std::exchange(placed->done, nullptr);
  done(std::move(outcome));
}

void stage_router::Cancel(stage_number number) {
  const auto found = orders_.find(number);
  if (found == orders_.end()) {
    return;
  }
  const auto placed = found->second;
  orders_.erase(found);
  placed->done = nullptr;
  if (placed->local != 0) {
    home_.Cancel(placed->local);
    return;
  }
  wire::cancel_piecesT cancel;
  cancel.request = placed->group.request;
  cancel.stage = static_cast<std::uint16_t>(placed->group.stage);
  peers_.Notify(placed->host, MakeMessage(std::move(cancel)));
}

/// Results are freed by the home of their maker, which counts the room there.
void stage_router::Free(const std::vector<std::string>& handles) {
  std::map<std::string, std::vector<std::string>> by_home;
  for (const auto& handle : handles) {
    const auto record =
        environment_.roster.FindAt(environment_.protocol.keeper_of(handle));
    if (!record) {
      continue;
    }
    const auto domains = DomainsOf(record->Info().service);
    const bool is_whole = domains.size() < 2;
    by_home[HomeOf({record->Info().service,
                    is_whole ? std::string() : record->Info().failure_domain})]
        .push_back(handle);
  }
  for (auto& [host, freed] : by_home) {
    if (host == self_) {
      home_.Free(std::move(freed));
      continue;
    }
    wire::free_resultsT notice;
    notice.handles = std::move(freed);
    peers_.Notify(host, MakeMessage(std::move(notice)));
  }
}

// ------------------------------------------------------- For other hosts

void stage_router::ServePeers() {
  peers_.Handle(
      wire::message::submit_pieces,
      [this](const wire::messageUnion& request, const std::string& from,
             const std::function<void(wire::messageUnion)>& reply) {
        TakeSubmit(*request.Assubmit_pieces(), from, reply);
      });
  peers_.Handle(wire::message::home_status_request,
                [this](const wire::messageUnion&, const std::string&,
                       const std::function<void(wire::messageUnion)>& reply) {
                  wire::home_status_replyT status;
                  status.draining = draining_;
                  for (const auto& [shard, pieces] : home_.Waiting()) {
                    auto load = std::make_unique<wire::stage_loadT>();
                    load->service = shard.service;
                    load->domain = shard.domain;
                    load->pieces = static_cast<std::uint32_t>(pieces);
                    status.loads.push_back(std::move(load));
                  }
                  reply(MakeMessage(std::move(status)));
                });
  peers_.HandleNotice(
      wire::message::cancel_pieces,
      [this](const wire::messageUnion& notice, const std::string& from) {
        const auto& cancel = *notice.Ascancel_pieces();
        const auto found = served_.find({from, cancel.request, cancel.stage});
        if (found != served_.end()) {
          home_.Cancel(found->second);
          served_.erase(found);
        }
      });
  peers_.HandleNotice(
      wire::message::free_results,
      [this](const wire::messageUnion& notice, const std::string&) {
        home_.Free(notice.Asfree_results()->handles);
      });
}

void stage_router::TakeSubmit(
    const wire::submit_piecesT& submit, const std::string& from,
    const std::function<void(wire::messageUnion)>& reply) {
  if (submit.pieces == 0) {
    wire::submit_pieces_replyT answer;
    answer.end = wire::pieces_end::failed;
    reply(MakeMessage(std::move(answer)));
    return;
  }
  const std::tuple key{from, submit.request, unsigned{submit.stage}};
  const auto number = home_.Submit(
      {submit.service, submit.domain}, FromWire(submit, environment_.now()),
      [this, key, reply](stage_outcome outcome) {
        served_.erase(key);
        wire::submit_pieces_replyT answer;
        answer.end = ToWire(outcome.end);
        answer.handles = std::move(outcome.handles);
        reply(MakeMessage(std::move(answer)));
      });
  served_[key] = number;
}

// ------------------------------------------------------- Health of homes

void stage_router::Tick() {
  const time_point now = environment_.now();
  for (const auto& host : health_.Overdue(now)) {
    Lose(host, "no answer in time");
  }
  std::set<std::string> wanted;
  for (const auto& shard : Shards()) {
    for (const auto& host : Ranked(shard)) {
      if (host == self_) {
        if (!draining_) {
          break;
        }
        continue;
      }
      wanted.insert(host);
      if (health_.IsTrusted(host)) {
        break;
      }
    }
  }
  for (const auto& host : wanted) {
    if (health_.IsDue(host, now)) {
      Ask(host);
    }
  }
  for (const auto& [shard, pieces] : home_.Waiting()) {
    if (HomeOf(shard) == self_) {
      told_waiting_[shard] = {self_, pieces};
    }
  }
  tick_.expires_after(kTick);
  tick_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                       const asio::error_code& error) {
    if (!error && !alive.expired()) {
      Tick();
    }
  });
}

void stage_router::Ask(const std::string& host) {
  health_.NoteAsked(host, environment_.now());
  peers_.Call(host, MakeMessage(wire::home_status_requestT()), kStatusTimeout,
              [this, host](const peer_reply& reply) {
                const auto* status = reply.end == peer_call_end::kReplied
                                         ? reply.body.Ashome_status_reply()
                                         : nullptr;
                if (status == nullptr) {
                  Lose(host, "no status");
                  return;
                }
                health_.NoteAnswer(host, status->draining, environment_.now());
                for (const auto& load : status->loads) {
                  const stage_shard shard{load->service, load->domain};
                  if (HomeOf(shard) == host) {
                    told_waiting_[shard] = {host, load->pieces};
                  }
                }
              });
}

void stage_router::Lose(const std::string& host, const char* why) {
  if (health_.IsTrusted(host)) {
    environment_.log.Write("home_lost", {{"home", host}, {"detail", why}});
    environment_.metrics.Count("homes_lost", why);
  }
  health_.NoteFailure(host, environment_.now());
  // Ends its calls, whose pieces are then placed elsewhere.
  peers_.Drop(host);
}

}  // namespace slatestall
