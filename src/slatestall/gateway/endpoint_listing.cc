#include "slatestall/gateway/endpoint_listing.h"

#include <algorithm>
#include <set>

namespace slatestall {
namespace {

/// Taking in the first read after an outage; reads are further apart.
constexpr milliseconds kFirstRead{100};
/// Ids of endpoints that are gone whose starts are kept: a day's at the size
/// that the system is built for.
constexpr std::size_t kMostStarts = 4096;

}  // namespace

void endpoint_listing::Put(const known_endpoint& endpoint) {
  auto& newest = newest_starts_[endpoint.id];
  if (endpoint.started_ms == 0 && newest > 0) {
    // An endpoint that tells its start tells it always: another writer's.
    Withdraw(endpoint.id);
    return;
  }
  if (endpoint.started_ms < newest) {
    return;  // Of a run before.
  }
  auto& kept = entries_[endpoint.id];
  // Of one run, the longest cold time counts that was told.
  const auto cold_until =
      newest == endpoint.started_ms
          ? std::max(kept.endpoint.cold_until, endpoint.cold_until)
          : endpoint.cold_until;
  newest = endpoint.started_ms;
  kept = {endpoint, std::nullopt};
  kept.endpoint.cold_until = cold_until;
}

void endpoint_listing::Drop(const std::string& id, time_point now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  // An endpoint that had said it leaves is gone, outage or not. Entries that
  // lapsed are missing from the first read after it; what goes later has left,
  // also where only this host had been cut off from the store.
  if (SeesOutage(now) && !found->second.endpoint.leaving) {
    found->second.missing_since = now;
    return;
  }
  entries_.erase(found);
  LimitStarts();
}

/// Ids that are gone for long are not told any more.
void endpoint_listing::LimitStarts() {
  while (newest_starts_.size() > kMostStarts + entries_.size()) {
    const auto old = std::find_if(
        newest_starts_.begin(), newest_starts_.end(),
        [this](const auto& item) { return entries_.count(item.first) == 0; });
    if (old == newest_starts_.end()) {
      return;
    }
    newest_starts_.erase(old);
  }
}

void endpoint_listing::ReplaceAll(const std::vector<known_endpoint>& listed,
                                  time_point now) {
  std::set<std::string> present;
  for (const auto& endpoint : listed) {
    present.insert(endpoint.id);
    Put(endpoint);
  }
  std::vector<std::string> absent;
  for (const auto& [id, entry] : entries_) {
    if (present.count(id) == 0 && !entry.missing_since) {
      absent.push_back(id);
    }
  }
  for (const auto& id : absent) {
    Drop(id, now);
  }
}

void endpoint_listing::AddRestored(const std::vector<known_endpoint>& listed) {
  for (const auto& endpoint : listed) {
    const auto known = entries_.find(endpoint.id);
    const bool is_gone =
        known == entries_.end() && newest_starts_.contains(endpoint.id);
    const bool would_return = known != entries_.end() &&
                              known->second.endpoint.leaving &&
                              !endpoint.leaving;
    if (!is_gone && !would_return) {
      Put(endpoint);
    }
  }
}

void endpoint_listing::NoteRead(bool succeeded, time_point now) {
  if (failing_ && succeeded) {
    outage_over_ = now;
  }
  failing_ = !succeeded;
}

bool endpoint_listing::SeesOutage(time_point now) const {
  return failing_ || (outage_over_ && now - *outage_over_ < kFirstRead);
}

bool endpoint_listing::InOutage(time_point now) const {
  return failing_ || (outage_over_ && now - *outage_over_ < return_time_);
}

bool endpoint_listing::DropOverdue(time_point now) {
  if (InOutage(now)) {
    return false;
  }
  return std::erase_if(entries_, [](const auto& item) {
           return item.second.missing_since.has_value();
         }) > 0;
}

std::vector<known_endpoint> endpoint_listing::Listed() const {
  std::vector<known_endpoint> listed;
  listed.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    listed.push_back(entry.endpoint);
  }
  return listed;
}

std::optional<known_endpoint> endpoint_listing::Find(
    const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt
                                 : std::optional(found->second.endpoint);
}

listing_changes passed_listing::Change(const endpoint_states& states) {
  listing_changes changes;
  for (const auto& [id, endpoint] : states) {
    if (endpoint) {
      Put(*endpoint, changes);
    } else {
      Remove(id, changes);
    }
  }
  return changes;
}

listing_changes passed_listing::Replace(
    const std::vector<known_endpoint>& listed) {
  endpoint_states states;
  for (const auto& [id, endpoint] : passed_) {
    states.emplace(id, std::nullopt);
  }
  for (const auto& endpoint : listed) {
    states[endpoint.id] = endpoint;
  }
  return Change(states);
}

void passed_listing::Remove(const std::string& id, listing_changes& changes) {
  if (passed_.erase(id) > 0) {
    changes.gone.push_back(id);
  }
}

void passed_listing::Put(const known_endpoint& endpoint,
                         listing_changes& changes) {
  const auto known = passed_.find(endpoint.id);
  const bool is_new = known == passed_.end();
  if (!is_new && known->second == endpoint) {
    return;
  }
  const bool was_leaving = !is_new && known->second.leaving;
  if (is_new) {
    changes.added.push_back(endpoint.id);
  }
  if (endpoint.leaving && !was_leaving) {
    changes.leaving.push_back(endpoint.id);
  }
  changes.put.push_back(endpoint);
  passed_[endpoint.id] = endpoint;
}

const known_endpoint* passed_listing::Find(const std::string& id) const {
  const auto found = passed_.find(id);
  return found == passed_.end() ? nullptr : &found->second;
}

}  // namespace slatestall
