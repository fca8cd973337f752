#include "slatestall/policy/endpoint_set.h"

#include <algorithm>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

// Endpoints that one host uses of one service and model. Each endpoint is then
// used by about kHostsPerEndpoint hosts; with 8, random choice leaves 1 in
// 3,000 endpoints without any host.
constexpr std::size_t kFewestEndpoints = 16;
constexpr std::size_t kHostsPerEndpoint = 8;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

endpoint_set::endpoint_set(std::string host_name)
    : host_name_(std::move(host_name)) {}

void endpoint_set::Update(const service_view& view, std::uint32_t live_hosts,
                          time_point now) {
  live_hosts_ = std::max(1U, live_hosts);
  const candidates previous = std::move(listed_);
  UnlistAll(previous);
  listed_.clear();
  for (std::size_t i = 0; i < view.endpoints.size(); ++i) {
    endpoint_state* hint = i < previous.size() ? previous[i] : nullptr;
    listed_.push_back(
        &StateFor(view.endpoints[i], hint, view.config.slots, now));
  }
  known_ = true;
  if (listed_ != previous) {
    RankListed();
    DropUnlisted();
  }
}

void endpoint_set::UnlistAll() {
  UnlistAll(listed_);
  listed_.clear();
  ranked_.clear();
  subsets_.clear();
  DropUnlisted();
}

void endpoint_set::UnlistAll(const candidates& states) {
  for (endpoint_state* state : states) {
    state->Unlist();
  }
  subsets_.clear();
}

endpoint_state& endpoint_set::StateFor(const endpoint_view& view,
                                       endpoint_state* hint,
                                       std::uint32_t slots, time_point now) {
  const std::string& address = view.where.address;
  if (hint != nullptr && hint->Address() == address) {
    hint->Update(view, slots, now);
    return *hint;
  }
  const auto known = states_.find(address);
  if (known != states_.end()) {
    known->second->Update(view, slots, now);
    return *known->second;
  }
  auto fresh = std::make_unique<endpoint_state>(view, slots, now);
  if (known_) {
    fresh->Health().StartSlowly(now);
  }
  return *states_.emplace(address, std::move(fresh)).first->second;
}

void endpoint_set::RankListed() {
  std::vector<std::pair<std::uint64_t, endpoint_state*>> ranks;
  ranks.reserve(listed_.size());
  const std::uint64_t seed = StableHash(host_name_);
  for (endpoint_state* state : listed_) {
    ranks.emplace_back(StableHash(state->Address(), seed), state);
  }
  std::sort(ranks.begin(), ranks.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first
                              : a.second->Address() < b.second->Address();
  });
  ranked_.clear();
  for (const auto& [rank, state] : ranks) {
    ranked_.push_back(state);
  }
}

void endpoint_set::DropUnlisted() {
  std::erase_if(states_, [](const auto& entry) {
    return !entry.second->Listed() && entry.second->InFlight() == 0;
  });
}

const endpoint_set::subset& endpoint_set::For(const std::string& model) {
  const auto known = subsets_.find(model);
  if (known != subsets_.end()) {
    return known->second;
  }
  candidates holders = Holders(model);
  const std::size_t count = holders.size();
  const std::size_t wanted = SubsetSize(count);
  if (count > wanted) {
    holders.resize(wanted);
  }
  return subsets_.emplace(model, subset{std::move(holders), count})
      .first->second;
}

endpoint_set::candidates endpoint_set::Holders(const std::string& model) const {
  if (model.empty()) {
    return ranked_;
  }
  candidates holders;
  candidates silent;
  for (endpoint_state* state : ranked_) {
    const std::vector<std::string>& models = state->View().load.models;
    if (Contains(models, model)) {
      holders.push_back(state);
    } else if (models.empty()) {
      silent.push_back(state);
    }
  }
  if (!holders.empty()) {
    return holders;
  }
  return silent.empty() ? ranked_ : silent;
}

std::size_t endpoint_set::SubsetSize(std::size_t count) const {
  const std::size_t shared =
      (kHostsPerEndpoint * count + live_hosts_ - 1) / live_hosts_;
  return std::max(kFewestEndpoints, shared);
}

endpoint_state* endpoint_set::Find(const std::string& address) const {
  const auto found = states_.find(address);
  return found == states_.end() ? nullptr : found->second.get();
}

bool endpoint_set::Idle() const {
  return std::all_of(states_.begin(), states_.end(), [](const auto& entry) {
    return entry.second->InFlight() == 0;
  });
}

}  // namespace slatestall
