#include "slatestall/policy/share_divider.h"

#include <algorithm>
#include <cmath>

namespace slatestall {
namespace {

// A host asks from this part of its floor on. Asking only at the floor itself,
// a workspace of few requests was refused in each of its bursts.
constexpr double kAskFrom = 0.2;

}  // namespace

share_divider::share_divider(share_rules rules) : rules_(rules) {}

void share_divider::UseHosts(std::uint32_t known_hosts) {
  known_hosts_ = std::max(known_hosts, 1U);
}

void share_divider::UseLimits(
    const std::map<std::string, workspace_config>& workspaces) {
  std::map<std::string, workspace_state> next;
  for (const auto& [name, config] : workspaces) {
    const auto known = workspaces_.find(name);
    workspace_state& state = next[name];
    if (known != workspaces_.end()) {
      state = known->second;
    }
    state.limits = config.limits;
  }
  workspaces_.swap(next);
}

void share_divider::UseDemand(const std::string& workspace,
                              const workspace_demand& demand) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    found->second.demand = demand;
  }
}

// A host whose demand fits well into its floor neither asks nor holds anything.
// That is what keeps the traffic proportional to the workspaces that are busy
// on a host and not to all of them.
bool share_divider::WantsMore(const workspace_state& state) const {
  const auto above = [this](double limit, double demand) {
    return limit > 0 && demand * rules_.headroom >
                            kAskFrom * rules_.floor_part * limit / known_hosts_;
  };
  return above(state.limits.requests_per_second,
               state.demand.requests_per_second) ||
         above(state.limits.tokens_per_second,
               state.demand.tokens_per_second) ||
         above(state.limits.concurrency, state.demand.concurrency);
}

// With many busy workspaces the requests go further apart, so that their cost
// stays what one host may spend. A workspace that turns busy asks at once.
milliseconds share_divider::Pace() const {
  const auto busy = std::count_if(
      workspaces_.begin(), workspaces_.end(),
      [this](const auto& entry) { return WantsMore(entry.second); });
  const auto entries = static_cast<double>(busy);
  const double messages = std::min(entries, known_hosts_ - 1);
  const double bytes =
      entries * rules_.bytes_per_entry + messages * rules_.bytes_per_message;
  const milliseconds paced(
      std::llround(bytes / rules_.max_bytes_per_second * 1000));
  return std::max(rules_.min_interval, paced);
}

std::vector<share_request> share_divider::TakeDue(time_point now) {
  std::vector<share_request> due;
  const milliseconds pace = Pace();
  for (auto& [name, state] : workspaces_) {
    if (now < state.ask_at || !WantsMore(state)) {
      continue;
    }
    state.ask_at = now + pace;
    share_request request;
    request.workspace = name;
    request.pace = pace;
    request.demand = state.demand;
    if (state.lent_until > now) {
      request.held = state.lent;
      request.held_for =
          std::chrono::ceil<milliseconds>(state.lent_until - now);
    }
    due.push_back(std::move(request));
  }
  return due;
}

void share_divider::TakeGrant(const share_grant& grant, time_point asked_at) {
  const auto found = workspaces_.find(grant.workspace);
  if (found == workspaces_.end()) {
    return;
  }
  workspace_state& state = found->second;
  state.lent = grant.lent;
  state.lent_until = asked_at + grant.valid_for;
  state.ask_at = std::max(state.ask_at, asked_at + grant.ask_again);
  state.cut_off_until = {};
}

void share_divider::AskFailed(const std::string& workspace, time_point now) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    // Ends by itself: a host that no longer asks would else keep a part that
    // the allocator, back again, lends to others.
    found->second.cut_off_until = now + 2 * rules_.min_interval;
    found->second.ask_at = now + rules_.min_interval;
  }
}

double share_divider::ShareOf(const workspace_state& state, double limit,
                              double lent, time_point now) const {
  if (limit <= 0) {
    return 0;
  }
  const double equal = limit / known_hosts_;
  const double floor = rules_.floor_part * equal;
  if (state.lent_until > now) {
    return floor + lent;
  }
  // Cut off from the allocator, this host counts on its equal part: never on
  // the whole limit, which every cut off host would take, and never on nothing.
  // The allocator on the other side lends no more than the part of the hosts
  // it can reach, so that the sides together stay within the limit.
  return now < state.cut_off_until ? equal : floor;
}

std::map<std::string, workspace_share> share_divider::Shares(
    time_point now) const {
  std::map<std::string, workspace_share> shares;
  for (const auto& [name, state] : workspaces_) {
    workspace_share& share = shares[name];
    share.requests_per_second = ShareOf(state, state.limits.requests_per_second,
                                        state.lent.requests_per_second, now);
    share.tokens_per_second = ShareOf(state, state.limits.tokens_per_second,
                                      state.lent.tokens_per_second, now);
    share.concurrency =
        ShareOf(state, state.limits.concurrency, state.lent.concurrency, now);
  }
  return shares;
}

}  // namespace slatestall
