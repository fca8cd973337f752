#include "slatestall/gateway/endpoint_listing.h"

#include <set>

namespace slatestall {
namespace {

/// Taking in the first read after an outage; reads are further apart.
constexpr milliseconds kFirstRead{100};

}  // namespace

void endpoint_listing::Put(const known_endpoint& endpoint) {
  entries_[endpoint.id] = {endpoint, std::nullopt};
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

}  // namespace slatestall
