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

listing_changes ChangesBetween(const std::vector<known_endpoint>& before,
                               const std::vector<known_endpoint>& after) {
  listing_changes changes;
  auto old = before.begin();
  for (const auto& endpoint : after) {
    for (; old != before.end() && old->id < endpoint.id; ++old) {
      changes.gone.push_back(old->id);
    }
    const bool was_listed = old != before.end() && old->id == endpoint.id;
    if (!was_listed) {
      changes.added.push_back(endpoint.id);
    }
    if (endpoint.leaving && !(was_listed && old->leaving)) {
      changes.leaving.push_back(endpoint.id);
    }
    if (was_listed) {
      ++old;
    }
  }
  for (; old != before.end(); ++old) {
    changes.gone.push_back(old->id);
  }
  return changes;
}

}  // namespace slatestall
