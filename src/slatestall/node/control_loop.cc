#include "slatestall/node/control_loop.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/node/admin_api.h"
#include "slatestall/node/config_follower.h"
#include "slatestall/node/control_state.h"
#include "slatestall/node/endpoint_directory.h"
#include "slatestall/node/endpoint_subset.h"
#include "slatestall/node/listen_address.h"
#include "slatestall/node/load_poller.h"
#include "slatestall/node/outcome_service.h"
#include "slatestall/node/peer_heads.h"
#include "slatestall/platform/host_list_client.h"
#include "slatestall/platform/log_client.h"

namespace slatestall {
namespace {

constexpr milliseconds kTick{250};
constexpr milliseconds kHostListInterval{1000};
/// Snapshots that carry only new load reports are at least this far apart.
constexpr milliseconds kSnapshotGap{50};
constexpr milliseconds kStatusTimeout{700};
constexpr milliseconds kHeadTimeout{500};
/// Between two rounds of asking peers for their head while the log cannot
/// tell it.
constexpr milliseconds kHeadInterval{1000};
/// Peers asked at once: a stale head wins only if all of them are stale.
constexpr std::size_t kHeadsAsked = 8;

/// Where the settings do not say it. Too short costs a record now and then.
constexpr std::chrono::hours kAssumedRetention{24};

std::optional<configuration> CheckSource(const std::string& source) {
  auto parsed = ParseConfiguration(source, "configuration");
  if (!parsed.Ok()) {
    return std::nullopt;
  }
  return std::move(parsed.content);
}

std::int64_t WallClockSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

peer_node_options PeerOptions(const settings& options) {
  const auto listen = ParseListenAddress(options.peer_listen);
  peer_node_options peer;
  peer.listen_address = listen.address;
  peer.listen_port = listen.port;
  return peer;
}

}  // namespace

class control_loop::impl
    : public std::enable_shared_from_this<control_loop::impl> {
 public:
  impl(const settings& options, host_id self, now_function now,
       snapshot_cell& snapshots, control_hooks hooks)
      : options_(options),
        self_(std::move(self)),
        now_(std::move(now)),
        snapshots_(snapshots),
        hooks_(std::move(hooks)),
        work_(asio::make_work_guard(context_)),
        client_(context_),
        fetch_hosts_(MakeHostListClient(client_, options_.host_list_url)),
        peers_(context_, self_, PeerOptions(options_)),
        follower_(context_, FollowerOptions(), CheckSource,
                  MakeLogClient(client_, options_.log_url), now_,
                  FollowerHooks()),
        outcomes_(context_, self_, OutcomeOptions(),
                  MakeLogClient(client_, options_.log_url), OutcomePeers(),
                  now_),
        poller_(context_, client_, now_,
                [this](const std::string& address, load_report load) {
                  OnLoad(address, std::move(load));
                }),
        tick_timer_(context_),
        host_list_timer_(context_),
        snapshot_timer_(context_) {
    peers_.Handle(wire::message::status_request,
                  [this](const auto&, const auto&, const auto& reply) {
                    AnswerStatus(reply);
                  });
    peers_.Handle(wire::message::config_head_request,
                  [this](const auto& request, const auto&, const auto& reply) {
                    AnswerHead(request, reply);
                  });
  }

  void Start() {
    asio::post(context_, [this] {
      follower_.Start();
      FetchHosts();
      ScheduleTick();
    });
    thread_ = std::thread([this] { context_.run(); });
  }

  void Stop() {
    work_.reset();
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  asio::io_context& Context() { return context_; }
  std::uint16_t PeerPort() const { return peers_.Port(); }

  void HandleAdminCall(const http_request& request, const admin_reply& reply) {
    HandleAdmin(AdminActions(), request, reply);
  }

  void EndpointLeaves(const std::string& address) {
    if (directory_.MarkLeaving(address, now_())) {
      PublishNow();
    }
  }

  void BeginDrain() {
    draining_ = true;
    PublishNow();
  }

  void HandOver(const std::function<void()>& done) {
    outcomes_.Drain([done](const std::string&) { done(); });
  }

  outcome_guard Guard() { return outcomes_.Guard(); }

  milliseconds LongestDeadline() const {
    return milliseconds{longest_deadline_ms_.load()};
  }

  std::string Metrics() const {
    return "# TYPE slatestall_config_revision gauge\n"
           "slatestall_config_revision " +
           std::to_string(revision_.load()) +
           "\n# TYPE slatestall_log_reachable gauge\n"
           "slatestall_log_reachable " +
           std::to_string(log_reachable_.load() ? 1 : 0) +
           "\n# TYPE slatestall_snapshots counter\n"
           "slatestall_snapshots " +
           std::to_string(snapshots_published_.load()) + "\n";
  }

 private:
  config_follower_options FollowerOptions() const {
    config_follower_options follower;
    follower.host = self_.name;
    follower.retention = options_.log_retention.count() > 0
                             ? options_.log_retention
                             : std::chrono::seconds(kAssumedRetention);
    return follower;
  }

  config_follower_hooks FollowerHooks() {
    return {[this] { OnConfiguration(); }, [this] { return LiveHosts(); },
            WallClockSeconds};
  }

  outcome_options OutcomeOptions() const {
    outcome_options outcomes;
    outcomes.claim_partitions = options_.claim_partitions;
    return outcomes;
  }

  outcome_peers OutcomePeers() {
    outcome_peers peers;
    peers.call = PeerCall();
    peers.handle = [this](wire::message kind, peer_node::call_handler handler) {
      peers_.Handle(kind, std::move(handler));
    };
    peers.live_hosts = [this] { return LiveHosts(); };
    peers.presence = [this](const host_id& host) {
      const auto live = LiveHosts();
      return std::count(live.begin(), live.end(), host.name) != 0
                 ? host_presence::kLive
                 : host_presence::kUnreachable;
    };
    peers.successor = [](const host_id&) { return std::nullopt; };
    return peers;
  }

  void OnConfiguration() {
    log_reachable_ = follower_.LogReachable();
    const auto& obeyed = follower_.History().Obeyed();
    if (!obeyed || obeyed == directory_.Configuration()) {
      return;
    }
    in_force_since_ = now_();
    revision_ = obeyed->revision;
    longest_deadline_ms_ = LongestDeadlineOf(obeyed->content).count();
    directory_.UseConfiguration(obeyed);
    ChooseEndpoints();
    PublishNow();
  }

  void FetchHosts() {
    fetch_hosts_([this](const host_list_result& result) {
      if (result.ok) {
        OnHostList(result.hosts);
      }
      host_list_timer_.expires_after(kHostListInterval);
      host_list_timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
          FetchHosts();
        }
      });
    });
  }

  void OnHostList(const std::vector<listed_host>& hosts) {
    auto peers = PeersOf(hosts, self_.name);
    const bool first = !host_list_seen_;
    host_list_seen_ = true;
    peer_list_ = std::move(peers);
    peers_.SetPeers(peer_list_);
    directory_.UseHostList(hosts, now_());
    ChooseEndpoints();
    PublishNow();
    if (first) {
      AskPeersForHead();
    }
  }

  void ChooseEndpoints() {
    used_.clear();
    milliseconds interval{0};
    const auto hosts = LiveHosts().size();
    for (const auto& [name, endpoints] : directory_.Services()) {
      used_.merge(SubsetOf(endpoints, self_.name, options_.failure_domain,
                           SubsetSize(endpoints.size(), hosts)));
      interval = std::max(interval, PollInterval(endpoints.size(), hosts));
    }
    poller_.SetTargets(used_, interval);
  }

  void OnLoad(const std::string& address, load_report load) {
    if (directory_.TakeLoad(address, std::move(load))) {
      PublishNow();
    } else {
      PublishSoon();
    }
  }

  std::vector<std::string> LiveHosts() const {
    std::vector<std::string> hosts{self_.name};
    for (const auto& peer : peer_list_) {
      hosts.push_back(peer.host);
    }
    return hosts;
  }

  void PublishSoon() {
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

  void PublishNow() {
    publish_pending_ = false;
    snapshot_timer_.cancel();
    auto snapshot = std::make_shared<control_snapshot>();
    snapshot->configuration = directory_.Configuration();
    snapshot->services = directory_.Views(used_);
    snapshot->live_hosts = static_cast<std::uint32_t>(LiveHosts().size());
    snapshot->draining = draining_;
    if (snapshot->configuration) {
      snapshot->shares =
          EqualShares(snapshot->configuration->content, snapshot->live_hosts);
    }
    snapshots_.Publish(std::move(snapshot));
    ++snapshots_published_;
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTick);
    tick_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        OnTick();
        ScheduleTick();
      }
    });
  }

  void OnTick() {
    const bool log_tells = follower_.LogReachable() &&
                           follower_.History().Trust() == log_trust::kTrusted;
    if (!log_tells && now_() >= next_heads_) {
      AskPeersForHead();
    }
  }

  peer_call PeerCall() {
    return [this](const std::string& host, wire::messageUnion request,
                  milliseconds timeout, std::function<void(peer_reply)> done) {
      peers_.Call(host, std::move(request), timeout, std::move(done));
    };
  }

  void AskPeersForHead() {
    next_heads_ = now_() + kHeadInterval;
    std::vector<std::string> names;
    for (const auto& peer : peer_list_) {
      names.push_back(peer.host);
    }
    AskHeads(PeerCall(), SomeOf(std::move(names), kHeadsAsked),
             follower_.History().ObeyedRevision(), kHeadTimeout,
             [this](const std::vector<peer_head>& heads, std::size_t) {
               // Highest first: lower ones are then known to be stale and
               // not obeyed even for a moment.
               for (auto head = heads.rbegin(); head != heads.rend(); ++head) {
                 follower_.TakePeerHead(head->claim, head->source);
               }
             });
  }

  void AnswerHead(const wire::messageUnion& request,
                  const std::function<void(wire::messageUnion)>& reply) {
    const auto* asked = request.Asconfig_head_request();
    wire::config_head_replyT head;
    const auto& history = follower_.History();
    head.revision = history.ObeyedRevision();
    if (history.Head() && history.Head()->revision == head.revision) {
      head.read_to = history.Head()->read_to;
    }
    if (history.Obeyed() && asked != nullptr) {
      head.source = history.Obeyed()->source;
    }
    wire::messageUnion body;
    body.Set(std::move(head));
    reply(std::move(body));
  }

  host_status OwnStatus() const {
    host_status status;
    status.host = self_;
    status.peer_address = PeerOptions(options_).listen_address + ":" +
                          std::to_string(peers_.Port());
    status.revision = revision_;
    status.draining = draining_;
    if (status.revision > 0) {
      status.since =
          std::chrono::duration_cast<milliseconds>(now_() - in_force_since_);
    }
    return status;
  }

  void AnswerStatus(const std::function<void(wire::messageUnion)>& reply) {
    wire::status_replyT status;
    status.json = EncodeHostStatus(OwnStatus());
    wire::messageUnion body;
    body.Set(std::move(status));
    reply(std::move(body));
  }

  admin_actions AdminActions() {
    admin_actions actions;
    actions.status = [this](const auto& done) { TellStatus(done); };
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

  void TellStatus(const std::function<void(system_status)>& done) {
    AskStatuses(PeerCall(), peer_list_, kStatusTimeout,
                [this, done](std::vector<host_status> hosts) {
                  system_status status;
                  status.self = OwnStatus();
                  status.hosts = std::move(hosts);
                  status.hosts.push_back(status.self);
                  status.log_reachable = follower_.LogReachable();
                  status.trust = follower_.History().Trust();
                  status.services = ServiceStatuses();
                  done(std::move(status));
                });
  }

  std::vector<service_status> ServiceStatuses() const {
    std::vector<service_status> services;
    for (const auto& [name, view] : directory_.Views(std::nullopt)) {
      service_status service{name, view.endpoints.size(), 0, 0};
      for (const auto& endpoint : view.endpoints) {
        service.leaving += endpoint.leaving ? 1 : 0;
        service.reporting += endpoint.load.received == time_point{} ? 0 : 1;
      }
      services.push_back(std::move(service));
    }
    return services;
  }

  const settings options_;
  const host_id self_;
  const now_function now_;
  snapshot_cell& snapshots_;
  control_hooks hooks_;

  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
  http_client client_;
  fetch_host_list fetch_hosts_;
  peer_node peers_;
  config_follower follower_;
  outcome_service outcomes_;
  endpoint_directory directory_;
  load_poller poller_;
  asio::steady_timer tick_timer_;
  asio::steady_timer host_list_timer_;
  asio::steady_timer snapshot_timer_;

  std::vector<peer_address> peer_list_;
  std::set<std::string> used_;
  time_point in_force_since_{};
  time_point next_heads_{};
  bool host_list_seen_ = false;
  bool draining_ = false;
  bool publish_pending_ = false;

  std::atomic<config_revision> revision_{0};
  std::atomic<bool> log_reachable_{false};
  std::atomic<std::uint64_t> snapshots_published_{0};
  std::atomic<std::int64_t> longest_deadline_ms_{6000};
};

control_loop::control_loop(const settings& options, const host_id& self,
                           now_function now, snapshot_cell& snapshots,
                           control_hooks hooks)
    : impl_(std::make_shared<impl>(options, self, std::move(now), snapshots,
                                   std::move(hooks))) {}

control_loop::~control_loop() { impl_->Stop(); }

void control_loop::Start() { impl_->Start(); }

void control_loop::Stop() { impl_->Stop(); }

std::uint16_t control_loop::PeerPort() const { return impl_->PeerPort(); }

// The call arrives on a traffic thread, is handled on the control thread and
// answered on the traffic thread, to which its responder belongs.
http_handler control_loop::AdminHandler(asio::io_context& lane) {
  return [weak = std::weak_ptr(impl_), &lane](
             const http_request& request, const http_responder_ptr& responder) {
    const auto impl = weak.lock();
    if (!impl) {
      return;
    }
    // The last owner may be the control thread: the responder still ends
    // where it belongs.
    http_responder_ptr owned(responder.get(), [&lane, responder](auto*) {
      asio::post(lane, [responder] {});
    });
    auto reply = [&lane, responder = std::move(owned)](admin_answer answer) {
      asio::post(lane, [responder, answer = std::move(answer)]() mutable {
        responder->Send(answer.status, {{"Content-Type", "application/json"}},
                        std::move(answer.body));
      });
    };
    asio::post(impl->Context(), [impl, request, reply = std::move(reply)] {
      impl->HandleAdminCall(request, reply);
    });
  };
}

outcome_guard control_loop::Guard() { return impl_->Guard(); }

void control_loop::EndpointLeaves(const std::string& address) {
  asio::post(impl_->Context(),
             [impl = impl_, address] { impl->EndpointLeaves(address); });
}

void control_loop::BeginDrain() {
  asio::post(impl_->Context(), [impl = impl_] { impl->BeginDrain(); });
}

void control_loop::HandOver(std::function<void()> done) {
  asio::post(impl_->Context(),
             [impl = impl_, done = std::move(done)] { impl->HandOver(done); });
}

milliseconds control_loop::LongestDeadline() const {
  return impl_->LongestDeadline();
}

std::string control_loop::Metrics() const { return impl_->Metrics(); }

}  // namespace slatestall
