#include "slatestall/policy/share_exchange.h"

#include <algorithm>

#include "slatestall/policy/membership_rendezvous.h"

namespace slatestall {
namespace {

constexpr auto kTick = milliseconds(100);
constexpr auto kMeasureEvery = std::chrono::seconds(1);
constexpr auto kCallTimeout = std::chrono::seconds(1);
constexpr auto kNoticed = std::chrono::seconds(4);  // By gossip.

}  // namespace

share_exchange::share_exchange(event_queue& events, duration one_way)
    : events_(events), one_way_(one_way) {}

void share_exchange::UseHosts(const std::vector<std::string>& names) {
  std::erase_if(hosts_, [&](const auto& entry) {
    return std::find(names.begin(), names.end(), entry.first) == names.end();
  });
  for (const std::string& name : names) {
    std::unique_ptr<host_state>& host = hosts_[name];
    if (host == nullptr) {
      host = std::make_unique<host_state>();
      host->demand = demand_estimate(events_.Now());
      host->divider.UseLimits(workspaces_);
    }
  }
  for (auto& [name, host] : hosts_) {
    host->divider.UseHosts(static_cast<std::uint32_t>(hosts_.size()));
  }
}

void share_exchange::UseLimits(
    const std::map<std::string, workspace_config>& workspaces) {
  workspaces_ = workspaces;
  for (auto& [name, host] : hosts_) {
    host->divider.UseLimits(workspaces);
  }
}

void share_exchange::Start() {
  const double parts =
      static_cast<double>(hosts_.size()) * share_rules().headroom;
  for (auto& [name, host] : hosts_) {
    for (const auto& [workspace, config] : workspaces_) {
      host->divider.UseDemand(workspace,
                              {config.limits.requests_per_second / parts,
                               config.limits.tokens_per_second / parts,
                               config.limits.concurrency / parts});
    }
  }
  measured_ = events_.Now();
  Tick();
}

demand_estimate& share_exchange::Demand(const std::string& host) {
  return hosts_.at(host)->demand;
}

std::map<std::string, workspace_share> share_exchange::Shares(
    const std::string& host) const {
  return hosts_.at(host)->divider.Shares(events_.Now());
}

void share_exchange::Part(const std::set<std::string>& far) {
  far_ = far;
  change_seen_ = events_.Now() + kNoticed;
}

void share_exchange::Heal() { Part({}); }

void share_exchange::Restart(const std::string& host) {
  std::unique_ptr<host_state>& state = hosts_.at(host);
  state = std::make_unique<host_state>();
  state->demand = demand_estimate(events_.Now());
  state->divider.UseLimits(workspaces_);
  state->divider.UseHosts(static_cast<std::uint32_t>(hosts_.size()));
}

void share_exchange::Tick() {
  if (events_.Now() >= change_seen_) {
    seen_far_ = far_;
  }
  if (events_.Now() - measured_ >= kMeasureEvery) {
    measured_ = events_.Now();
    Measure();
  }
  const auto known = static_cast<std::uint32_t>(hosts_.size());
  for (auto& [name, host] : hosts_) {
    host->allocator.UseHosts(known,
                             static_cast<std::uint32_t>(SeenBy(name).size()));
    host->allocator.Tick(events_.Now());
  }
  AskAll();
  events_.After(kTick, [this] { Tick(); });
}

void share_exchange::Measure() {
  for (auto& [name, host] : hosts_) {
    auto measured = host->demand.Take(events_.Now());
    for (const auto& [workspace, config] : workspaces_) {
      host->divider.UseDemand(workspace, measured[workspace]);
    }
  }
}

void share_exchange::AskAll() {
  for (auto& [name, host] : hosts_) {
    for (const share_request& request : host->divider.TakeDue(events_.Now())) {
      Ask(name, request);
    }
  }
}

void share_exchange::Ask(const std::string& from,
                         const share_request& request) {
  const std::string to = RendezvousHost(request.workspace, SeenBy(from));
  const time_point asked_at = events_.Now();
  if (to == from) {
    Answer(from, to, request, asked_at);
    return;
  }
  if (!Reaches(from, to)) {
    events_.After(kCallTimeout, [this, from, workspace = request.workspace] {
      Fail(from, workspace);
    });
    return;
  }
  events_.After(one_way_, [this, from, to, request, asked_at] {
    Answer(from, to, request, asked_at);
  });
}

void share_exchange::Answer(const std::string& from, const std::string& to,
                            const share_request& request, time_point asked_at) {
  const auto allocator = hosts_.find(to);
  const auto config = workspaces_.find(request.workspace);
  // A host lends only where its own view names it.
  if (allocator == hosts_.end() || config == workspaces_.end() ||
      RendezvousHost(request.workspace, SeenBy(to)) != to) {
    Fail(from, request.workspace);
    return;
  }
  const share_grant grant = allocator->second->allocator.Ask(
      from, request, config->second.limits, events_.Now());
  const duration back = from == to ? duration::zero() : one_way_;
  events_.After(back, [this, from, grant, asked_at] {
    const auto asker = hosts_.find(from);
    if (asker != hosts_.end()) {
      asker->second->divider.TakeGrant(grant, asked_at);
    }
  });
}

void share_exchange::Fail(const std::string& from,
                          const std::string& workspace) {
  const auto asker = hosts_.find(from);
  if (asker != hosts_.end()) {
    asker->second->divider.AskFailed(workspace, events_.Now());
  }
}

bool share_exchange::Reaches(const std::string& from,
                             const std::string& to) const {
  return far_.count(from) == far_.count(to);
}

std::vector<std::string> share_exchange::SeenBy(const std::string& host) const {
  std::vector<std::string> seen;
  for (const auto& [name, state] : hosts_) {
    if (seen_far_.count(name) == seen_far_.count(host)) {
      seen.push_back(name);
    }
  }
  return seen;
}

}  // namespace slatestall
