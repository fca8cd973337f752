#include "slatestall/node/host_network.h"

namespace slatestall {
namespace {

/// Hosts that limits are divided by until the list has been seen.
constexpr double kAssumedHosts = 8;

}  // namespace

host_network::host_network(asio::io_context& context, peer_node& peers,
                           const member_digest& self, const now_function& now,
                           const std::function<void()>& on_change)
    : self_(self.host),
      gossip_(context, peers, now, self, {}, on_change),
      shares_(context, peers, now, gossip_.View(), {}, on_change) {}

void host_network::Start() {
  gossip_.Start();
  shares_.Start();
}

void host_network::UseHostList(const std::vector<listed_host>& hosts) {
  std::vector<listed_member> listed;
  for (const auto& host : hosts) {
    if (host.service == kEntryService) {
      listed.push_back({host.name, host.where.address,
                        host.where.failure_domain, host.leaving});
    }
  }
  list_seen_ = true;
  gossip_.UseList(listed);
}

void host_network::UseConfiguration(
    const accepted_configuration& configuration) {
  shares_.UseWorkspaces(configuration.content.workspaces);
  gossip_.SetRevision(configuration.revision);
}

void host_network::NoteLeaving(const std::string& address) {
  gossip_.NoteEndpoint(address, wire::notice_kind::leaving);
}

void host_network::UseDemand(
    const std::map<std::string, workspace_demand>& demand) {
  for (const auto& [workspace, wanted] : demand) {
    shares_.UseDemand(workspace, wanted);
  }
}

std::vector<endpoint_observation> host_network::Notices() const {
  auto notices = gossip_.Notices();
  std::erase_if(notices, [](const auto& notice) {
    return notice.kind != wire::notice_kind::leaving;
  });
  return notices;
}

// A host that starts while the list is down sees itself alone. Admitting all
// of every limit, it would add as much again to what the others admit.
std::map<std::string, workspace_share> host_network::Shares() const {
  auto shares = shares_.Shares();
  if (list_seen_ || Members().KnownHosts() > 1) {
    return shares;
  }
  for (auto& [workspace, share] : shares) {
    share.requests_per_second /= kAssumedHosts;
    share.tokens_per_second /= kAssumedHosts;
    share.concurrency /= kAssumedHosts;
  }
  return shares;
}

std::vector<peer_address> host_network::Peers() const {
  std::vector<peer_address> peers;
  for (const auto& [name, member] : Members().Members()) {
    const auto& told = member.digest.peer_address;
    const auto& address = told.empty() ? member.listed_address : told;
    if (name != self_ && member.state != member_state::kGone &&
        !address.empty()) {
      peers.push_back({name, address});
    }
  }
  return peers;
}

}  // namespace slatestall
