#include "slatestall/node/control_state.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Deadline of a plain service called directly.
constexpr milliseconds kServiceDeadline{6000};

}  // namespace

std::vector<peer_address> PeersOf(const std::vector<listed_host>& hosts,
                                  const std::string& self) {
  std::vector<peer_address> peers;
  for (const auto& host : hosts) {
    if (host.service == kEntryService && host.name != self) {
      peers.push_back({host.name, host.where.address});
    }
  }
  return peers;
}

std::map<std::string, workspace_share> EqualShares(const configuration& content,
                                                   std::uint32_t hosts) {
  const double part = 1.0 / std::max(hosts, 1U);
  std::map<std::string, workspace_share> shares;
  for (const auto& [name, workspace] : content.workspaces) {
    shares[name] = {workspace.limits.requests_per_second * part,
                    workspace.limits.tokens_per_second * part,
                    workspace.limits.concurrency * part};
  }
  return shares;
}

milliseconds LongestDeadlineOf(const configuration& content) {
  milliseconds longest = kServiceDeadline;
  for (const auto& [name, pipeline] : content.pipelines) {
    longest = std::max(longest, pipeline.deadline);
  }
  return longest;
}

}  // namespace slatestall
