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
/// Named like a shard, so that it has a ranking of its own.
constexpr const char* kReadersShard = "store readers";
constexpr std::size_t kReaders = 2;
constexpr std::size_t kNewestSources = 3;

std::string ShardName(const stage_shard& shard) {
  return shard.service + "/" + shard.domain;
}

}  // namespace

void stage_router::SetHosts(std::vector<listed_gateway> hosts) {
  std::vector<peer_address> others;
  std::vector<std::string> names{self_};
  hosts_ = {{self_, environment_.options.Weight()}};
  for (auto& host : hosts) {
    if (host.address.host != self_) {
      hosts_.push_back({host.address.host, host.weight});
      names.push_back(host.address.host);
      others.push_back(std::move(host.address));
    }
  }
  rankings_.clear();
  health_.Keep(names);
  const auto contacts = Contacts();
  others.insert(others.end(), contacts.begin(), contacts.end());
  peers_.SetPeers(others);
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
  return rankings_[shard] =
             RankHomes(ShardName(shard), hosts_, environment_.options.disabled);
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
                                   const std::string& request,
                                   const std::string& near) const {
  const auto domains = DomainsOf(service);
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

/// Two at a time: with one lost, hosts turn to the other within a moment.
std::vector<std::string> stage_router::Readers() const {
  std::vector<std::string> readers;
  for (const auto& host : Ranked({kReadersShard, ""})) {
    if (host == self_ || health_.IsTrusted(host)) {
      readers.push_back(host);
    }
    if (readers.size() == kReaders) {
      break;
    }
  }
  return readers;
}

std::string stage_router::Reader() const {
  if (!environment_.options.Uses(mechanism::kSharedReading)) {
    return {};
  }
  const auto readers = Readers();
  const bool reads_itself =
      std::find(readers.begin(), readers.end(), self_) != readers.end();
  if (reads_itself || readers.empty()) {
    return {};
  }
  return readers[StableHash(self_) % readers.size()];
}

/// The readers first, since the others have it from them; a host that has just
/// started knows its seeds only.
std::vector<std::string> stage_router::Sources() const {
  if (!environment_.options.Uses(mechanism::kTopicExchange)) {
    return {};
  }
  std::vector<std::string> sources;
  for (const auto& host : Ranked({kReadersShard, ""})) {
    if (host != self_ && health_.IsTrusted(host)) {
      sources.push_back(host);
    }
    if (sources.size() == kNewestSources) {
      return sources;
    }
  }
  const auto seeds = environment_.options.OtherSeeds();
  sources.insert(sources.end(), seeds.begin(), seeds.end());
  return sources;
}

void stage_router::Tick() {
  const time_point now = environment_.now();
  for (const auto& host : health_.Overdue(now)) {
    Lose(host, "no answer in time");
  }
  std::set<std::string> wanted;
  for (const auto& host : Wanted({kReadersShard, ""}, kReaders)) {
    wanted.insert(host);
  }
  for (const auto& shard : Shards()) {
    for (const auto& host : Wanted(shard, 1)) {
      wanted.insert(host);
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

/// Other hosts to be asked so that `count` usable ones are known of a ranking:
/// those in use, and all before them that may have come back.
std::vector<std::string> stage_router::Wanted(const stage_shard& shard,
                                              std::size_t count) const {
  std::vector<std::string> wanted;
  for (const auto& host : Ranked(shard)) {
    if (count == 0) {
      break;
    }
    const bool is_self = host == self_;
    if (!is_self) {
      wanted.push_back(host);
    }
    if (is_self ? !draining_ : health_.IsTrusted(host)) {
      --count;
    }
  }
  return wanted;
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
