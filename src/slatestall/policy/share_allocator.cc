#include "slatestall/policy/share_allocator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace slatestall {
namespace {

struct claimant {
  double demand = 0;
  bool is_asker = false;
};

// Divides `pool` so that nobody gets more than asked and what small demands
// leave over goes to the larger ones (max-min fairness). A demand-proportional
// split would let one host that asks for everything shrink all others.
double FairPart(double pool, std::vector<claimant> claimants) {
  std::sort(
      claimants.begin(), claimants.end(),
      [](const claimant& a, const claimant& b) { return a.demand < b.demand; });
  std::size_t left = claimants.size();
  for (const claimant& next : claimants) {
    const double part = std::min(next.demand, pool / static_cast<double>(left));
    if (next.is_asker) {
      return part;
    }
    pool -= part;
    --left;
  }
  return 0;
}

}  // namespace

share_allocator::share_allocator(share_rules rules) : rules_(rules) {}

void share_allocator::UseHosts(std::uint32_t known_hosts,
                               std::uint32_t reachable_hosts) {
  known_hosts_ = std::max(known_hosts, 1U);
  reachable_hosts_ = std::clamp<double>(reachable_hosts, 1.0, known_hosts_);
}

milliseconds share_allocator::Interval() const {
  const double bytes = static_cast<double>(GrantCount()) *
                       (rules_.bytes_per_entry + rules_.bytes_per_message);
  const milliseconds paced(
      std::llround(bytes / rules_.max_bytes_per_second * 1000));
  return std::max(rules_.min_interval, paced);
}

share_grant share_allocator::Ask(const std::string& host,
                                 const share_request& request,
                                 const workspace_limits& limits,
                                 time_point now) {
  auto [entry, is_new] = pools_.try_emplace(request.workspace);
  workspace_pool& pool = entry->second;
  if (is_new) {
    // The grants of a former allocator still run, unknown to this one until
    // their holders ask again. Lending from what looks like a full pool before
    // that would admit up to twice the limit.
    pool.learning_until =
        now + std::max({request.pace, request.held_for, rules_.min_interval});
  }
  std::erase_if(pool.leases,
                [now](const auto& e) { return e.second.ends <= now; });
  const bool learning = now < pool.learning_until;
  const bool holds = request.held_for > milliseconds{0};
  const workspace_share held = holds ? request.held : workspace_share{};

  lease& own = pool.leases[host];
  own.demand = request.demand;
  own.lent = held;
  const auto lend = [&](double limit, double workspace_demand::*demand,
                        double workspace_share::*lent) {
    return Lend(pool, host, {limit, held.*lent, demand, lent}, learning);
  };
  workspace_share granted;
  granted.requests_per_second =
      lend(limits.requests_per_second, &workspace_demand::requests_per_second,
           &workspace_share::requests_per_second);
  granted.tokens_per_second =
      lend(limits.tokens_per_second, &workspace_demand::tokens_per_second,
           &workspace_share::tokens_per_second);
  granted.concurrency = lend(limits.concurrency, &workspace_demand::concurrency,
                             &workspace_share::concurrency);

  const milliseconds interval = std::max(Interval(), request.pace);
  const milliseconds valid_for(std::llround(
      static_cast<double>(interval.count()) * rules_.grant_intervals));
  own.lent = granted;
  own.ends = now + valid_for;
  return {request.workspace, granted, valid_for, interval};
}

double share_allocator::Lend(const workspace_pool& pool,
                             const std::string& host, const resource& wanted,
                             bool learning) const {
  if (wanted.limit <= 0) {
    return 0;
  }
  const double floor = rules_.floor_part * wanted.limit / known_hosts_;
  const double whole =
      (1 - rules_.floor_part) * wanted.limit * reachable_hosts_ / known_hosts_;
  const auto above_floor = [&](const lease& of) {
    return std::max(0.0, of.demand.*wanted.demand * rules_.headroom - floor);
  };
  std::vector<claimant> claimants;
  double lent_to_others = 0;
  double asked = 0;
  for (const auto& [name, other] : pool.leases) {
    claimants.push_back({above_floor(other), name == host});
    asked += claimants.back().demand;
    if (name != host) {
      lent_to_others += other.lent.*wanted.lent;
    }
  }
  // What nobody asks for is lent as well, in equal parts over all hosts: a
  // measured mean says nothing of the next burst, and a share close to it
  // refused one request in eight of an ordinary day.
  // Not while learning: what looks like slack may be lent by the former one.
  const double slack =
      learning ? 0 : std::max(0.0, whole - asked) / reachable_hosts_;
  const double part = FairPart(whole, std::move(claimants)) + slack;
  // What runs elsewhere is never taken back before its holder has been told:
  // a newcomer waits until the others ask again and get less.
  const double free = std::max(0.0, whole - lent_to_others);
  const double equal = whole / reachable_hosts_;
  const double most = learning ? std::max(wanted.held, equal) : whole;
  return std::min({part, free, most});
}

void share_allocator::Tick(time_point now) {
  for (auto& [workspace, pool] : pools_) {
    std::erase_if(pool.leases,
                  [now](const auto& e) { return e.second.ends <= now; });
  }
  std::erase_if(pools_, [](const auto& e) { return e.second.leases.empty(); });
}

std::size_t share_allocator::GrantCount() const {
  std::size_t count = 0;
  for (const auto& [workspace, pool] : pools_) {
    count += pool.leases.size();
  }
  return count;
}

}  // namespace slatestall
