#include "slatestall/gateway/version_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

/// Callers whose streams were cut come back within it.
constexpr std::chrono::seconds kCallersReturn{5};
constexpr const char* kVersions = "versions";
constexpr const char* kEra = "era";
constexpr const char* kComplete = "complete";

/// @returns nothing where some entry is not a list of texts.
std::optional<std::map<std::string, std::set<std::string>>> VersionsIn(
    const json& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  std::map<std::string, std::set<std::string>> versions;
  for (const auto& [service, listed] : value.items()) {
    if (!listed.is_array()) {
      return std::nullopt;
    }
    for (const auto& version : listed) {
      if (!version.is_string()) {
        return std::nullopt;
      }
      versions[service].insert(version.get<std::string>());
    }
  }
  return versions;
}

}  // namespace

bool version_record::Names(const std::string& service,
                           const std::string& version) const {
  const auto found = versions.find(service);
  return found != versions.end() && found->second.contains(version);
}

std::string WriteVersionRecord(const version_record& record) {
  return DumpJson({{kVersions, record.versions},
                   {kEra, record.era},
                   {kComplete, record.is_complete}});
}

version_record ReadVersionRecord(std::string_view value) {
  const auto document = ParseJson(value);
  const auto era = UnsignedMember(document, kEra);
  const auto is_complete = FlagMember(document, kComplete);
  if (!era || !is_complete || !document.contains(kVersions)) {
    return {};
  }
  auto versions = VersionsIn(document.at(kVersions));
  if (!versions) {
    return {};
  }
  return {std::move(*versions), *era, *is_complete};
}

void version_ledger::NoteHost(const std::string& host, bool records_versions) {
  hosts_[host].records_versions = records_versions;
}

void version_ledger::NoteRecord(const std::string& host,
                                version_record record) {
  hosts_[host].record = std::move(record);
}

void version_ledger::Forget(const std::string& host) { hosts_.erase(host); }

void version_ledger::ForgetRecord(const std::string& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.record.reset();
  }
}

const version_record* version_ledger::RecordOf(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.record ? &*found->second.record
                                                       : nullptr;
}

bool version_ledger::IsRecorded(const std::string& service,
                                const std::string& version) const {
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& host) {
    const auto& record = host.second.record;
    return record && record->Names(service, version);
  });
}

std::optional<std::string> version_ledger::Only(const std::string& service,
                                                std::uint64_t era) const {
  std::set<std::string> versions;
  for (const auto& [name, host] : hosts_) {
    if (!host.record) {
      if (!host.records_versions) {
        return std::nullopt;
      }
      continue;
    }
    // A record of an earlier era may be of a copy that lacks later ones.
    if (!host.record->is_complete || host.record->era != era) {
      return std::nullopt;
    }
    const auto found = host.record->versions.find(service);
    if (found != host.record->versions.end()) {
      versions.insert(found->second.begin(), found->second.end());
    }
  }
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

void own_versions::Begin(const version_record* before, bool is_complete,
                         time_point now) {
  begun_at_ = now;
  was_complete_ = is_complete;
  if (before == nullptr) {
    return;
  }
  for (const auto& [service, versions] : before->versions) {
    for (const auto& version : versions) {
      services_[service][version].last_listed = now;
    }
  }
}

bool own_versions::IsComplete(time_point now) const {
  return was_complete_ || (begun_at_ && now - *begun_at_ > stream_life_);
}

void own_versions::NoteListed(const std::string& service,
                              const std::string& version, time_point now) {
  auto& listed = services_[service][version];
  listed.last_listed = std::max(listed.last_listed, now);
  listed.is_of_this_process = true;
}

bool own_versions::Waits(const version_ledger& recorded,
                         const std::string& service, const std::string& version,
                         time_point now) const {
  if (!begun_at_ || now - *begun_at_ >= kCallersReturn ||
      recorded.IsRecorded(service, version)) {
    return false;
  }
  const auto& versions = services_.at(service);
  return std::any_of(versions.begin(), versions.end(), [&](const auto& one) {
    return one.second.is_of_this_process &&
           recorded.IsRecorded(service, one.first);
  });
}

version_record own_versions::Record(const version_ledger& recorded,
                                    std::uint64_t era, time_point now) {
  version_record record;
  record.era = era;
  record.is_complete = IsComplete(now);
  for (auto& [service, versions] : services_) {
    std::erase_if(versions, [&](const auto& one) {
      return now - one.second.last_listed > stream_life_;
    });
    for (const auto& [version, listed] : versions) {
      if (!Waits(recorded, service, version, now)) {
        record.versions[service].insert(version);
      }
    }
  }
  return record;
}

}  // namespace slatestall
