#include "slatestall/gateway/host_entry.h"

#include <algorithm>
#include <utility>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

/// Bounds the effect of a wrong weight: no host may draw all work to itself.
constexpr double kLeastWeight = 0.01;
constexpr double kMostWeight = 64.0;

constexpr const char* kPeer = "peer";
constexpr const char* kWeight = "weight";
constexpr const char* kRelay = "relay";
constexpr const char* kFailureDomain = "failure_domain";
constexpr const char* kRecordsVersions = "records_versions";

}  // namespace

std::string WriteHostEntry(const listed_gateway& host) {
  return DumpJson({{kPeer, host.address.address},
                   {kWeight, host.weight},
                   {kRelay, host.relay},
                   {kFailureDomain, host.failure_domain},
                   {kRecordsVersions, host.records_versions}});
}

std::optional<listed_gateway> ReadHostEntry(const std::string& host,
                                            std::string_view value) {
  const auto entry = ParseJson(value);
  auto peer = StringMember(entry, kPeer);
  if (!peer) {
    return std::nullopt;
  }
  listed_gateway read;
  read.address = {host, std::move(*peer)};
  read.weight =
      std::clamp(NumberMember(entry, kWeight, 1.0), kLeastWeight, kMostWeight);
  read.relay = StringMember(entry, kRelay).value_or("");
  read.failure_domain = StringMember(entry, kFailureDomain).value_or("");
  read.records_versions = FlagMember(entry, kRecordsVersions).value_or(false);
  return read;
}

}  // namespace slatestall
