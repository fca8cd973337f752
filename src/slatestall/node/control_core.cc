#include "slatestall/node/control_core.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "slatestall/node/control_setup.h"
#include "slatestall/node/longest_deadline.h"
#include "slatestall/node/peer_heads.h"
#include "slatestall/serve/workspace_auth.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{250};
/// Between two fetches of the host list. Its size grows with the fleet and the
/// control traffic of a host must not, so a long list is fetched less often;
/// what others see in it meanwhile comes by gossip.
constexpr milliseconds kHostListInterval{1000};
constexpr milliseconds kHostListIntervalPerLine{100};
constexpr std::size_t kShortHostList = 50;
constexpr milliseconds kDemandInterval{1000};
/// Snapshots that carry only new load reports are at least this far apart.
constexpr milliseconds kSnapshotGap{100};
/// Loads told with answers are taken together, at least this far apart.
constexpr milliseconds kToldGap{50};
constexpr milliseconds kHeadTimeout{500};
/// Between two rounds of asking peers for their head while the log cannot
/// tell it.
constexpr milliseconds kHeadInterval{1000};
/// Peers asked at once: a stale head wins only if all of them are stale.
constexpr std::size_t kHeadsAsked = 8;
/// For others to learn who has this host's keys before it goes.
constexpr milliseconds kFarewell{600};

milliseconds HostListInterval(std::size_t lines) {
  const auto more = lines - std::min(lines, kShortHostList);
  return kHostListInterval + kHostListIntervalPerLine * more;
}

}  // namespace

control_core::control_core(asio::io_context& context, const settings& options,
                           const host_id& self, now_function now,
                           snapshot_cell& snapshots, control_hooks hooks,
                           const make_platform_services& platform)
    : options_(options),
      self_(self),
      now_(std::move(now)),
      snapshots_(snapshots),
      hooks_(std::move(hooks)),
      traffic_(options_.log_url, options_.host_list_url,
               options_.weight_store_url),
      client_(context),
      platform_(platform(client_)),
      peers_(context, self_, PeerOptions(options_)),
      network_(context, peers_, OwnDigest(options_, self_, peers_.Port()), now_,
               [this] { OnNetwork(); }),
      follower_(context, FollowerOptions(), CheckSource, platform_.log, now_,
                FollowerHooks()),
      outcomes_(context, self_, OutcomeOptions(), platform_.log, OutcomePeers(),
                now_),
      reporter_(self_, now_, peers_, follower_, directory_, network_),
      loads_(context, client_, now_, directory_,
             {[this] { PublishSoon(); },
              [this](const std::string& address, bool leaving) {
                OnEndpointLeaving(address, leaving);
              }}),
      orders_(MakeOrders(context)),
      told_timer_(context),
      tick_timer_(context),
      host_list_timer_(context),
      snapshot_timer_(context),
      farewell_timer_(context) {
  reporter_.SetPeerAddress(PeerAddress(options_, peers_.Port()));
  client_.SetMeter([this](const std::string& url, std::uint64_t sent,
                          std::uint64_t received) {
    traffic_.CountCall(url, sent, received);
  });
}

void control_core::Start() {
  if (hooks_.http_address) {
    reporter_.SetHttpAddress(hooks_.http_address());
  }
  follower_.Start();
  network_.Start();
  if (orders_) {
    orders_->Start();
  }
  FetchHosts();
  ScheduleTick();
}

void control_core::HandleAdminCall(const http_request& request,
                                   const admin_reply& reply) {
  const auto& hashes = options_.operator_key_hashes;
  if (!hashes.empty() && !HoldsKey(hashes, request.headers)) {
    reply(UnauthorizedAnswer());
    return;
  }
  HandleAdmin(AdminActions(), request, reply);
}

void control_core::EndpointLeaves(const std::string& address) {
  network_.NoteLeaving(address);
  if (directory_.MarkLeaving(address, now_())) {
    PublishNow();
  }
}

void control_core::BeginDrain() {
  draining_ = true;
  reporter_.SetDraining();
  network_.SetDraining();
  if (orders_) {
    orders_->Resign();
  }
  PublishNow();
}

void control_core::HandOver(const std::function<void()>& done) {
  outcomes_.Drain([this, done](const std::string& successor) {
    network_.SetDrained(successor);
    farewell_timer_.expires_after(kFarewell);
    farewell_timer_.async_wait([done](const asio::error_code&) { done(); });
  });
}

config_follower_options control_core::FollowerOptions() const {
  config_follower_options follower;
  follower.host = self_.name;
  follower.retention = RetentionOf(options_);
  return follower;
}

config_follower_hooks control_core::FollowerHooks() {
  return {[this] { OnConfiguration(); },
          [this] { return network_.Members().LiveHosts(); }, WallClockSeconds};
}

outcome_options control_core::OutcomeOptions() const {
  outcome_options outcomes;
  outcomes.claim_partitions = options_.claim_partitions;
  outcomes.log_retention = options_.log_retention;
  return outcomes;
}

outcome_peers control_core::OutcomePeers() {
  outcome_peers peers;
  peers.call = [this](const std::string& host, wire::messageUnion request,
                      milliseconds timeout,
                      std::function<void(peer_reply)> done) {
    peers_.Call(host, std::move(request), timeout, std::move(done));
  };
  peers.handle = [this](wire::message kind, peer_node::call_handler handler) {
    peers_.Handle(kind, std::move(handler));
  };
  peers.live_hosts = [this] { return network_.Members().LiveHosts(); };
  peers.presence = [this](const host_id& host) {
    return PresenceOf(network_.Members(), host, now_());
  };
  peers.successor = [this](const host_id& host) {
    return network_.Members().SuccessorOf(host);
  };
  return peers;
}

admin_actions control_core::AdminActions() {
  admin_actions actions;
  actions.status = [this](const auto& done) { reporter_.SystemStatus(done); };
  actions.publish = [this](config_revision base, std::string source,
                           std::function<void(publish_result)> done) {
    follower_.Publish(base, std::move(source), std::move(done));
  };
  actions.configuration = [this] { return follower_.History().Obeyed(); };
  actions.drain = hooks_.drain;
  actions.explain = hooks_.explain;
  actions.report = hooks_.report;
  return actions;
}

std::unique_ptr<order_service> control_core::MakeOrders(
    asio::io_context& context) {
  if (options_.weight_store_url.empty()) {
    return nullptr;
  }
  return std::make_unique<order_service>(
      context, self_, client_, directory_, platform_.log, platform_.weights,
      now_,
      order_links{[this] { return network_.Members().LiveHosts(); },
                  [this] { ChooseEndpoints(); }});
}

void control_core::OnConfiguration() {
  figures_.log_reachable = follower_.LogReachable();
  const auto& obeyed = follower_.History().Obeyed();
  if (!obeyed || obeyed == directory_.Configuration()) {
    return;
  }
  reporter_.InForceSince(now_());
  figures_.revision = obeyed->revision;
  figures_.longest_deadline_ms = LongestDeadlineOf(obeyed->content).count();
  directory_.UseConfiguration(obeyed);
  network_.UseConfiguration(*obeyed);
  ChooseEndpoints();
  PublishNow();
}

void control_core::OnHostList(const std::vector<listed_host>& hosts) {
  for (const auto& host : hosts) {
    if (host.leaving && host.service != kEntryService &&
        !directory_.IsLeaving(host.where.address)) {
      network_.NoteLeaving(host.where.address);
    }
  }
  const auto hosts_before = network_.Members().KnownHosts();
  const auto before = directory_.Services();
  network_.UseHostList(hosts);
  directory_.UseHostList(hosts, now_());
  const bool same = host_list_seen_ && hosts == listed_ &&
                    before == directory_.Services() &&
                    hosts_before == network_.Members().KnownHosts();
  if (!same) {
    listed_ = hosts;
    ChooseEndpoints();
    PublishNow();
  }
  if (!std::exchange(host_list_seen_, true)) {
    AskPeersForHead();
  }
}

void control_core::OnNetwork() {
  bool leaving = false;
  for (const auto& notice : network_.Notices()) {
    leaving |= directory_.MarkLeaving(notice.address, notice.seen_at);
  }
  if (leaving) {
    PublishNow();
  } else {
    PublishSoon();
  }
}

// An endpoint's own word reaches only the hosts that poll or call it, so it
// is passed on.
void control_core::OnEndpointLeaving(const std::string& address, bool leaving) {
  if (leaving) {
    network_.NoteLeaving(address);
  }
  PublishNow();
}

void control_core::TakeToldSoon() {
  told_timer_.expires_after(kToldGap);
  told_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      loads_.TakeTold(told_.Take());
    }
  });
}

void control_core::OnTick() {
  const bool behind =
      network_.HeadHeardOf() > follower_.History().ObeyedRevision();
  if ((behind || !LogTellsHead()) && now_() >= next_heads_) {
    AskPeersForHead();
  }
  if (now_() < next_demand_) {
    return;
  }
  next_demand_ = now_() + kDemandInterval;
  traffic_.UsePeers(peers_);
  // Endpoints that a host watched which is gone now have other watchers.
  if (chosen_by_ != network_.Members().LiveHosts()) {
    ChooseEndpoints();
  }
  if (hooks_.demand) {
    network_.UseDemand(hooks_.demand());
  }
}

void control_core::FetchHosts() {
  platform_.hosts([this](const host_list_result& result) {
    if (result.ok) {
      OnHostList(result.hosts);
    }
    host_list_timer_.expires_after(HostListInterval(result.hosts.size()));
    host_list_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        FetchHosts();
      }
    });
  });
}

void control_core::ChooseEndpoints() {
  load_reports_scope scope;
  scope.host = self_.name;
  scope.failure_domain = options_.failure_domain;
  scope.live_hosts = network_.Members().LiveHosts();
  scope.known_hosts = network_.Members().KnownHosts();
  if (orders_) {
    const auto& held = orders_->HeldServices();
    scope.ordered_services.assign(held.begin(), held.end());
  }
  loads_.Choose(scope);
  chosen_by_ = std::move(scope.live_hosts);
}

bool control_core::LogTellsHead() const {
  return follower_.LogReachable() &&
         follower_.History().Trust() == log_trust::kTrusted;
}

void control_core::AskPeersForHead() {
  next_heads_ = now_() + kHeadInterval;
  std::vector<std::string> names;
  for (const auto& peer : network_.Peers()) {
    names.push_back(peer.host);
  }
  const auto call = [this](const std::string& host, wire::messageUnion request,
                           milliseconds timeout,
                           std::function<void(peer_reply)> done) {
    peers_.Call(host, std::move(request), timeout, std::move(done));
  };
  AskHeads(call, SomeOf(std::move(names), kHeadsAsked),
           follower_.History().ObeyedRevision(), kHeadTimeout,
           [this](const std::vector<peer_head>& heads, std::size_t) {
             // Highest first: lower ones are then known to be stale and not
             // obeyed even for a moment.
             for (auto head = heads.rbegin(); head != heads.rend(); ++head) {
               follower_.TakePeerHead(head->claim, head->source);
             }
           });
}

void control_core::PublishSoon() {
  if (publish_pending_) {
    return;
  }
  publish_pending_ = true;
  snapshot_timer_.expires_after(kSnapshotGap);
  snapshot_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      PublishNow();
    }
  });
}

void control_core::PublishNow() {
  publish_pending_ = false;
  auto snapshot = std::make_shared<control_snapshot>();
  snapshot->configuration = directory_.Configuration();
  snapshot->services = directory_.Views(loads_.Used());
  snapshot->shares = network_.Shares();
  snapshot->live_hosts = std::max(1U, network_.Members().KnownHosts());
  snapshot->draining = draining_;
  figures_.live_hosts = snapshot->live_hosts;
  snapshots_.Publish(std::move(snapshot));
  ++figures_.snapshots;
}

void control_core::ScheduleTick() {
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      figures_.loop.Ticked(tick_timer_.expiry(),
                           std::chrono::steady_clock::now());
      OnTick();
      ScheduleTick();
    }
  });
}

}  // namespace slatestall
