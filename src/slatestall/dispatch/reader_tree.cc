#include "slatestall/dispatch/reader_tree.h"

#include <algorithm>
#include <utility>

#include "slatestall/dispatch/home_ranking.h"
#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr const char* kReadersPart = "store readers/";
/// With one lost, hosts turn to the other within a moment.
constexpr std::size_t kReaders = 2;
/// Followers of one host; each has some five questions open with it, and is
/// sent whatever changes.
constexpr std::size_t kFollowers = 32;
/// After a failed read; the store may be back for this host by then.
constexpr milliseconds kStoreRetry{5000};
/// How long a host that starts waits for the list of hosts. Meanwhile it takes
/// what other hosts know.
constexpr milliseconds kListTime{6000};

}  // namespace

reader_tree::reader_tree(reading_host self, time_point started,
                         const disabled_mechanisms& disabled)
    : self_(std::move(self)),
      started_(started),
      disabled_(disabled),
      order_({self_.host}),
      domain_order_(order_) {}

void reader_tree::SetHosts(const std::vector<reading_host>& others) {
  listed_ = true;
  std::vector<home_candidate> candidates = {{self_.host, self_.weight}};
  std::set<std::string> in_domain = {self_.host};
  for (const auto& other : others) {
    if (other.host == self_.host) {
      continue;
    }
    candidates.push_back({other.host, other.weight});
    if (other.failure_domain == self_.failure_domain) {
      in_domain.insert(other.host);
    }
  }
  order_ = RankHomes(kReadersPart, candidates, disabled_);
  domain_order_.clear();
  std::copy_if(order_.begin(), order_.end(), std::back_inserter(domain_order_),
               [&](const auto& host) { return in_domain.contains(host); });
}

void reader_tree::NoteStore(bool answers, time_point now) {
  lacks_store_until_ = answers ? time_point{} : now + kStoreRetry;
}

/// In the own failure domain; none in a small fleet.
std::size_t reader_tree::RelayCount() const {
  if (Hosts() <= kReaders * kFollowers) {
    return 0;
  }
  return (domain_order_.size() + kFollowers - 1) / kFollowers;
}

reader_tree::hosts_before reader_tree::Before(
    const std::vector<std::string>& order, std::size_t count,
    const home_health& health, bool needs_store) const {
  hosts_before before;
  std::size_t lost = 0;
  for (const auto& host : order) {
    if (host == self_.host || before.living.size() == count) {
      break;
    }
    if (health.IsUnknown(host)) {
      before.has_unknown = before.has_unknown || lost < home_health::kMostLost;
    } else if (health.IsTrusted(host) &&
               !(needs_store && health.LacksStore(host))) {
      before.living.push_back(host);
    } else {
      ++lost;
    }
  }
  return before;
}

const std::string& reader_tree::PickOf(
    const std::vector<std::string>& hosts) const {
  return hosts[StableHash(self_.host) % hosts.size()];
}

reading_place reader_tree::Place(const home_health& health,
                                 time_point now) const {
  if (!listed_ && now < started_ + kListTime) {
    return {};  // Else all hosts of a fleet that starts would read the store.
  }
  const auto readers = Before(order_, kReaders, health, true);
  const bool may_read =
      readers.living.size() < kReaders && !readers.has_unknown;
  if (may_read && !LacksStore(now)) {
    return {reading_source::kStore, {}, false};  // Also behind a relay.
  }
  const auto relays = Before(domain_order_, RelayCount(), health, false);
  if (!IsFlat() && (relays.living.size() == RelayCount() ||
                    (relays.has_unknown && !relays.living.empty()))) {
    return {reading_source::kHost, PickOf(relays.living), true};
  }
  if (!readers.living.empty()) {
    return {reading_source::kHost, PickOf(readers.living), false};
  }
  if (readers.has_unknown) {
    return {};
  }
  // The first hosts after this one that reach the store read in its place.
  for (const auto& host : order_) {
    if (health.IsTrusted(host) && !health.LacksStore(host)) {
      return {reading_source::kHost, host, false};
    }
  }
  return {reading_source::kStore, {}, false};
}

void reader_tree::AddDue(const home_health& health, time_point now,
                         std::set<std::string>& due) const {
  std::size_t without_store = 0;
  health.AddDue(
      order_, self_.host, kReaders,
      [&](const std::string& host) {
        if (host != self_.host && !health.IsTrusted(host)) {
          return false;
        }
        const bool lacks_store =
            host == self_.host ? LacksStore(now) : health.LacksStore(host);
        // Where it answers nobody, not all hosts are asked for one.
        return !lacks_store || ++without_store >= home_health::kMostLost;
      },
      now, due);
  health.AddDue(
      domain_order_, self_.host, RelayCount(),
      [&](const std::string& host) {
        return host == self_.host || health.IsTrusted(host);
      },
      now, due);
}

/// Also while this host drains: reading for others ends with it.
const std::string& reader_tree::First(const home_health& health) const {
  return *std::find_if(order_.begin(), order_.end(),
                       [&](const std::string& host) {
                         return host == self_.host || health.IsTrusted(host);
                       });
}

std::vector<std::string> reader_tree::Sources(const home_health& health,
                                              std::size_t count) const {
  std::vector<std::string> sources;
  const auto add = [&](const std::vector<std::string>& order,
                       std::size_t most) {
    for (const auto& host : order) {
      const bool is_known =
          std::find(sources.begin(), sources.end(), host) != sources.end();
      if (sources.size() < most && !is_known && health.IsTrusted(host) &&
          !health.LacksStore(host)) {
        sources.push_back(host);
      }
    }
  };
  add(order_, IsFlat() ? count : std::min(count, kReaders));
  add(domain_order_, count);
  return sources;
}

}  // namespace slatestall
