// Which host is home to which shard, and which of them can be relied on.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "slatestall/gateway/stage_router.h"
#include "slatestall/gateway/stage_wire.h"
#include "slatestall/model/ids.h"
#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{50};
constexpr milliseconds kStatusTimeout{1000};
/// Endpoints that one home forms calls for. Up to there one queue for all of a
/// service keeps them best filled; beyond, each failure domain has its own.
constexpr std::size_t kMostPerHome = 24;
/// Homes that this host has no work for are asked as often whether they live;
/// in a large fleet they would else serve nothing but such questions.
constexpr milliseconds kIdleInterval{1000};
constexpr milliseconds kUseLife{5000};
/// Work waits as long for a home: a host that has not answered by then is
/// taken for lost, and the next ones have been asked.
constexpr milliseconds kHomeWait{700};
/// Between questions to the own pool, as to those of others.
constexpr milliseconds kPoolInterval{250};
constexpr milliseconds kTrafficInterval{1000};
constexpr std::size_t kNewestSources = 3;

std::string ShardName(const stage_shard& shard) {
  return shard.service + "/" + shard.domain;
}

}  // namespace

void stage_router::SetHosts(std::vector<listed_gateway> hosts) {
  std::vector<peer_address> others;
  std::vector<home_candidate> candidates;
  std::vector<reading_host> readers;
  for (auto& host : hosts) {
    if (host.address.host != self_) {
      candidates.push_back({host.address.host, host.weight});
      readers.push_back({host.address.host, host.failure_domain, host.weight});
      others.push_back(std::move(host.address));
    }
  }
  homes_.SetHosts(candidates);
  tree_.SetHosts(readers);
  const auto contacts = Contacts();
  others.insert(others.end(), contacts.begin(), contacts.end());
  peers_.SetPeers(others);
  AskDue();
}

/// The addresses of seeds. Only these are known while the store is away, and
/// whoever answers there can tell the rest.
std::vector<peer_address> stage_router::Contacts() const {
  std::vector<peer_address> contacts;
  for (const auto& seed : environment_.options.OtherSeeds()) {
    contacts.push_back({seed, seed, true});
  }
  return contacts;
}

void stage_router::Refresh() {
  CountUsable();
  home_.Refresh();
  MoveStrandedSoon();
  AskDue();
}

void stage_router::CountUsable() {
  usable_.clear();
  if (!environment_.table) {
    return;
  }
  for (const auto& [name, rule] : environment_.table->services) {
    if (!rule.batches) {
      continue;
    }
    auto& domains = usable_[name];
    for (const auto& record : environment_.roster.Of(name)) {
      if (record->Usable()) {
        ++domains[record->Info().failure_domain];
      }
    }
  }
}

std::vector<std::string> stage_router::DomainsOf(
    const std::string& service) const {
  std::vector<std::string> domains;
  std::size_t usable = 0;
  if (const auto found = usable_.find(service); found != usable_.end()) {
    for (const auto& [domain, endpoints] : found->second) {
      domains.push_back(domain);
      usable += endpoints;
    }
  }
  std::set<std::string> regions;
  for (const auto& domain : domains) {
    regions.insert(environment_.options.RegionOf(domain));
  }
  // Pieces that may not leave a region share no calls with others'.
  if (usable <= kMostPerHome && regions.size() < 2) {
    return {std::string()};
  }
  return domains;
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

std::optional<std::string> stage_router::HomeOf(
    const stage_shard& shard) const {
  return homes_.HomeOf(ShardName(shard), environment_.now());
}

void stage_router::WithHome(const stage_shard& shard, home_use use) {
  if (const auto home = HomeOf(shard)) {
    NoteUse(*home);
    use(*home);
    return;
  }
  waiting_.push_back({shard, environment_.now() + kHomeWait, std::move(use)});
}

void stage_router::ServeWaiting() {
  for (auto& one : std::exchange(waiting_, {})) {
    if (const auto home = HomeOf(one.shard)) {
      NoteUse(*home);
      one.use(*home);
    } else if (environment_.now() < one.until) {
      waiting_.push_back(std::move(one));
    } else {
      environment_.log.Write("home_not_found", {{"service", one.shard.service},
                                                {"domain", one.shard.domain},
                                                {"alone", homes_.IsAlone()}});
      environment_.metrics.Count("homes_not_found", one.shard.service);
      one.use(self_);
    }
  }
}

/// Pieces that wait for each endpoint of a shard.
double stage_router::Crowding(const stage_shard& shard) const {
  std::size_t endpoints = 0;
  if (const auto found = usable_.find(shard.service); found != usable_.end()) {
    for (const auto& [domain, usable] : found->second) {
      const bool belongs = shard.domain.empty() || shard.domain == domain;
      endpoints += belongs ? usable : 0;
    }
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
                                   const std::string& request,
                                   const std::string& near,
                                   const region_limit& regions) const {
  auto domains = DomainsOf(service);
  if (domains.size() > 1) {
    std::erase_if(domains, [&](const std::string& domain) {
      return !environment_.Allows(regions, domain);
    });
  }
  if (domains.size() < 2) {
    return {service, domains.empty() ? std::string() : domains.front()};
  }
  const auto draw = StableHash(request);
  const auto& one = domains[draw % domains.size()];
  const auto& other = domains[(draw / domains.size()) % domains.size()];
  const stage_shard first{service, one};
  const stage_shard second{service, other};
  const auto& calmer = Crowding(second) < Crowding(first) ? second : first;
  const bool near_exists =
      std::find(domains.begin(), domains.end(), near) != domains.end();
  if (!near_exists) {
    return calmer;
  }
  const stage_shard close{service, near};
  const auto* rule = environment_.table->Service(service);
  const double full_call =
      rule != nullptr && rule->batches ? rule->batches->most_pieces : 1.0;
  return Crowding(close) > full_call + Crowding(calmer) ? calmer : close;
}

/// Never outside what a call can take: a mean that had grown past it would
/// have every request refused, and then nothing would bring it down again.
duration stage_router::UsualTime(const std::string& service) const {
  const auto* rule =
      environment_.table ? environment_.table->Service(service) : nullptr;
  if (rule == nullptr || !rule->batches) {
    return duration(0);
  }
  const auto& batches = *rule->batches;
  const duration full_call =
      batches.call_time +
      batches.piece_time * static_cast<duration::rep>(batches.most_pieces);
  const auto seen = usual_times_.find(service);
  if (seen == usual_times_.end()) {
    return (batches.call_time + full_call) / 2;
  }
  const auto mean = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seen->second.Value()));
  return std::clamp(mean, batches.call_time, full_call + full_call / 2);
}

reading_place stage_router::ReadingPlace() const {
  if (!environment_.options.Uses(mechanism::kSharedReading)) {
    return {reading_source::kStore, {}, false};
  }
  return tree_.Place(homes_.Health(), environment_.now());
}

/// The readers first, since the others have it from them; a host that has just
/// started knows its seeds only.
std::vector<std::string> stage_router::Sources() const {
  if (!environment_.options.Uses(mechanism::kTopicExchange)) {
    return {};
  }
  auto sources = tree_.Sources(homes_.Health(), kNewestSources);
  if (sources.size() == kNewestSources) {
    return sources;
  }
  const auto seeds = environment_.options.OtherSeeds();
  sources.insert(sources.end(), seeds.begin(), seeds.end());
  return sources;
}

void stage_router::Tick() {
  const time_point now = environment_.now();
  for (const auto& host : homes_.Health().Overdue(now)) {
    Lose(host, "no answer in time");
  }
  AskDue();
  AskPool(now);
  NoteTraffic(now);
  ServeWaiting();
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

void stage_router::NoteTraffic(time_point now) {
  if (now < traffic_noted_ + kTrafficInterval) {
    return;
  }
  traffic_noted_ = now;
  const auto note = [this](const char* gauge, const auto& traffic) {
    for (const auto& [kind, count] : traffic) {
      environment_.metrics.SetGauge(gauge, wire::EnumNamemessage(kind),
                                    static_cast<double>(count.bytes));
    }
  };
  note("peer_sent_bytes", peers_.Sent());
  note("peer_received_bytes", peers_.Received());
}

void stage_router::AskDue() {
  const time_point now = environment_.now();
  std::set<std::string> due;
  tree_.AddDue(homes_.Health(), now, due);
  for (const auto& shard : Shards()) {
    homes_.AddDue(ShardName(shard), 1, now, due);
  }
  const auto pool = Pool();
  const auto followed = ReadingPlace().host;
  std::erase_if(used_at_, [now](const auto& used) {
    return now - used.second >= kUseLife;
  });
  for (const auto& host : due) {
    const bool is_in_use =
        host == pool || host == followed || used_at_.contains(host);
    if (is_in_use ||
        !homes_.Health().AnsweredWithin(host, kIdleInterval, now)) {
      Ask(host);
    }
  }
}

void stage_router::NoteUse(const std::string& home) {
  if (home != self_) {
    used_at_[home] = environment_.now();
  }
}

void stage_router::Ask(const std::string& host) {
  const time_point asked = environment_.now();
  homes_.Health().NoteAsked(host, asked);
  wire::home_status_requestT request;
  const bool asks_pool = Pool() == host;
  if (asks_pool) {
    request = ToWire(environment_.repeats.Question(host, asked));
  }
  peers_.Call(host, MakeMessage(std::move(request)), kStatusTimeout,
              [this, host, asked, asks_pool](const peer_reply& reply) {
                const auto* status = reply.end == peer_call_end::kReplied
                                         ? reply.body.Ashome_status_reply()
                                         : nullptr;
                if (status == nullptr) {
                  Lose(host, "no status");
                  return;
                }
                TakeStatus(host, *status);
                if (asks_pool) {
                  TakeGrants(host, ReserveIn(*status), asked);
                }
              });
}

void stage_router::TakeStatus(const std::string& host,
                              const wire::home_status_replyT& status) {
  homes_.Health().NoteAnswer(host, status.draining, environment_.now());
  homes_.Health().NoteStore(host, !status.lacks_store);
  for (const auto& load : status.loads) {
    const stage_shard shard{load->service, load->domain};
    if (HomeOf(shard) == host) {
      told_waiting_[shard] = {host, load->pieces};
    }
  }
  for (const auto& endpoint : status.leaving) {
    environment_.NoteLeaving({endpoint->id, endpoint->started_ms});
  }
  ServeWaiting();
}

/// The host that pools the reserve of repeats: the first reader, since all
/// hosts ask the readers whether they live.
std::string stage_router::Pool() const { return tree_.First(homes_.Health()); }

void stage_router::RenewPool() {
  pool_ = reserve_pool(environment_.repeats.Times(), RandomBits(),
                       environment_.now());
}

/// Where this host is the pool itself.
void stage_router::AskPool(time_point now) {
  if (Pool() != self_ || now < own_pool_asked_ + kPoolInterval) {
    return;
  }
  own_pool_asked_ = now;
  TakeGrants(
      self_,
      pool_.Answer(self_, environment_.repeats.Question(self_, now), now), now);
}

void stage_router::TakeGrants(const std::string& pool,
                              const reserve_answer& answer, time_point asked) {
  for (const auto& [service, repeats] : answer.granted) {
    environment_.metrics.Count("repeats_granted", service, repeats);
  }
  environment_.repeats.NoteAnswer(pool, answer, asked, environment_.now());
}

void stage_router::Lose(const std::string& host, const char* why) {
  if (homes_.Health().IsTrusted(host)) {
    nlohmann::json fields = {{"home", host}, {"detail", why}};
    if (const auto silent = peers_.SilentFor(host)) {
      fields["silent_ms"] = WholeMilliseconds(*silent).count();
    }
    environment_.log.Write("home_lost", std::move(fields));
    environment_.metrics.Count("homes_lost", why);
  }
  homes_.Health().NoteFailure(host, environment_.now());
  used_at_.erase(host);
  // Ends its calls, whose pieces are then placed elsewhere.
  peers_.Drop(host);
  AskDue();
}

}  // namespace slatestall
