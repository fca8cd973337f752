#include "slatestall/dispatch/endpoint_roster.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace slatestall {
namespace {

/// Records kept of endpoints that are no longer listed.
constexpr std::size_t kMostUnlisted = 2048;

/// An endpoint that starts again may have its id and report no start; its
/// software does not change while it runs.
bool IsSameRun(const known_endpoint& a, const known_endpoint& b) {
  return a.started_ms == b.started_ms && a.version == b.version;
}

}  // namespace

void endpoint_roster::Replace(const std::vector<known_endpoint>& listed) {
  std::set<std::string_view> ids;
  for (const auto& endpoint : listed) {
    ids.insert(endpoint.id);
  }
  std::vector<std::string> gone;
  for (const auto& [id, record] : by_id_) {
    if (!ids.contains(id)) {
      gone.push_back(id);
    }
  }
  Apply(listed, gone);
}

/// Those that are gone go first: another may have the address of one of them.
void endpoint_roster::Apply(const std::vector<known_endpoint>& put,
                            const std::vector<std::string>& gone) {
  for (const auto& id : gone) {
    const auto found = by_id_.find(id);
    if (found != by_id_.end()) {
      Unlist(found->second);
      found->second->SetListed(false);
      KeepUnlisted(found->second);
      by_id_.erase(found);
    }
  }
  for (const auto& endpoint : put) {
    if (const auto known = Find(endpoint.id)) {
      Unlist(known);
    }
    const auto record = RecordOf(endpoint);
    by_id_[endpoint.id] = record;
    List(record);
  }
}

/// In the order of ids, as a whole list has them.
void endpoint_roster::List(const endpoint_record_ptr& record) {
  auto& service = by_service_[record->Info().service];
  const auto at = std::lower_bound(
      service.begin(), service.end(), record,
      [](const auto& a, const auto& b) { return a->Info().id < b->Info().id; });
  service.insert(at, record);
  if (record->Usable()) {
    by_address_[AddressText(record->Info())] = record;
  }
  if (record->ReportedLeaving()) {
    reported_leaving_.push_back(record);
  }
}

void endpoint_roster::Unlist(const endpoint_record_ptr& record) {
  const auto service = by_service_.find(record->Info().service);
  if (service != by_service_.end()) {
    auto& records = service->second;
    const auto at = std::lower_bound(records.begin(), records.end(), record,
                                     [](const auto& a, const auto& b) {
                                       return a->Info().id < b->Info().id;
                                     });
    if (at != records.end() && *at == record) {
      records.erase(at);
    }
    if (records.empty()) {
      by_service_.erase(service);
    }
  }
  const auto address = by_address_.find(AddressText(record->Info()));
  if (address != by_address_.end() && address->second == record) {
    by_address_.erase(address);
  }
  std::erase(reported_leaving_, record);
}

endpoint_record_ptr endpoint_roster::RecordOf(const known_endpoint& endpoint) {
  auto record = Find(endpoint.id);
  if (record && !IsSameRun(record->Info(), endpoint)) {
    // What was learnt, and what lies there, is of a run that has ended.
    record->MarkGone();
    record = nullptr;
  }
  if (!record) {
    record = TakeUnlisted(endpoint.Incarnation());
  }
  if (!record || !IsSameRun(record->Info(), endpoint)) {
    return std::make_shared<endpoint_record>(endpoint, may_avoid_, uses_pace_);
  }
  record->Update(endpoint);
  record->SetListed(true);
  return record;
}

endpoint_record_ptr endpoint_roster::TakeUnlisted(
    const endpoint_incarnation& run) {
  const auto found = Unlisted(run);
  if (found == unlisted_.end()) {
    return nullptr;
  }
  auto record = *found;
  unlisted_.erase(found);
  return record;
}

std::deque<endpoint_record_ptr>::const_iterator endpoint_roster::Unlisted(
    const endpoint_incarnation& run) const {
  return std::find_if(unlisted_.begin(), unlisted_.end(),
                      [&run](const auto& record) {
                        return record->Info().Incarnation() == run;
                      });
}

void endpoint_roster::KeepUnlisted(const endpoint_record_ptr& record) {
  unlisted_.push_back(record);
  if (unlisted_.size() > kMostUnlisted) {
    unlisted_.pop_front();
  }
}

endpoint_record_ptr endpoint_roster::NoteLeaving(
    const endpoint_incarnation& run) {
  auto record = Find(run.id);
  if (!record || record->Info().Incarnation() != run) {
    const auto unlisted = Unlisted(run);
    record = unlisted == unlisted_.end() ? nullptr : *unlisted;
  }
  if (!record || !record->NoteLeaving()) {
    return nullptr;
  }
  if (Find(run.id) == record) {
    reported_leaving_.push_back(record);
  }
  return record;
}

std::vector<endpoint_incarnation> endpoint_roster::ReportedLeaving() const {
  std::vector<endpoint_incarnation> runs;
  for (const auto& record : reported_leaving_) {
    if (!record->Info().leaving) {
      runs.push_back(record->Info().Incarnation());
    }
  }
  return runs;
}

const std::vector<endpoint_record_ptr>& endpoint_roster::Of(
    const std::string& service) const {
  static const std::vector<endpoint_record_ptr> kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second;
}

bool endpoint_roster::HasUsable(const std::string& service,
                                const endpoint_filter& may_use) const {
  const auto& all = Of(service);
  return std::any_of(all.begin(), all.end(), [&may_use](const auto& record) {
    return record->Usable() && (!may_use || may_use(record->Info()));
  });
}

std::optional<time_point> endpoint_roster::OpensAt(
    const std::string& service, const endpoint_filter& may_use) const {
  std::optional<time_point> opens;
  for (const auto& record : Of(service)) {
    if (record->Usable() && (!may_use || may_use(record->Info()))) {
      opens =
          std::min(opens.value_or(time_point::max()), record->BackOffUntil());
    }
  }
  return opens;
}

endpoint_record_ptr endpoint_roster::FindAt(const std::string& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() || !found->second->Usable() ? nullptr
                                                                : found->second;
}

endpoint_record_ptr endpoint_roster::Find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

}  // namespace slatestall
