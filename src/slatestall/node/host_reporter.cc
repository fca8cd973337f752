#include "slatestall/node/host_reporter.h"

#include <utility>

namespace slatestall {
namespace {

constexpr milliseconds kStatusTimeout{700};

}  // namespace

host_reporter::host_reporter(const host_id& self, now_function now,
                             peer_node& peers, const config_follower& follower,
                             const endpoint_directory& directory,
                             const host_network& network)
    : self_(self),
      now_(std::move(now)),
      peers_(peers),
      follower_(follower),
      directory_(directory),
      network_(network) {
  peers_.Handle(wire::message::status_request,
                [this](const auto&, const auto&, const auto& reply) {
                  wire::status_replyT status;
                  status.json = EncodeHostStatus(OwnStatus());
                  wire::messageUnion body;
                  body.Set(std::move(status));
                  reply(std::move(body));
                });
  peers_.Handle(wire::message::config_head_request,
                [this](const auto& request, const auto&, const auto& reply) {
                  AnswerHead(request, reply);
                });
}

host_status host_reporter::OwnStatus() const {
  host_status status;
  status.host = self_;
  status.peer_address = peer_address_;
  status.http_address = http_address_;
  status.draining = draining_;
  if (const auto& configuration = directory_.Configuration()) {
    status.revision = configuration->revision;
    status.since =
        std::chrono::duration_cast<milliseconds>(now_() - in_force_since_);
  }
  return status;
}

void host_reporter::SystemStatus(
    const std::function<void(system_status)>& done) {
  const auto call = [this](const std::string& host, wire::messageUnion request,
                           milliseconds timeout,
                           std::function<void(peer_reply)> reply) {
    peers_.Call(host, std::move(request), timeout, std::move(reply));
  };
  AskStatuses(call, network_.Peers(), kStatusTimeout,
              [this, done](std::vector<host_status> hosts) {
                system_status status;
                status.self = OwnStatus();
                status.hosts = std::move(hosts);
                AddLastWords(status.hosts);
                status.hosts.push_back(status.self);
                status.log_reachable = follower_.LogReachable();
                status.trust = follower_.History().Trust();
                status.services = ServiceStatuses();
                done(std::move(status));
              });
}

// A host that went is listed for a while. What it last said tells an operator
// who waits for all hosts that this one need not be waited for.
void host_reporter::AddLastWords(std::vector<host_status>& hosts) const {
  for (auto& host : hosts) {
    const auto* known = network_.Members().Find(host.host.name);
    if (host.reachable || known == nullptr) {
      continue;
    }
    host.host.incarnation = known->digest.version.incarnation;
    host.revision = known->digest.revision;
    host.draining = known->digest.draining || known->digest.drained ||
                    known->state == member_state::kDraining;
  }
}

void host_reporter::AnswerHead(
    const wire::messageUnion& request,
    const std::function<void(wire::messageUnion)>& reply) const {
  const auto* asked = request.Asconfig_head_request();
  const auto& history = follower_.History();
  wire::config_head_replyT head;
  head.revision = history.ObeyedRevision();
  const auto folded = history.Head();
  if (folded && folded->revision == head.revision) {
    head.read_to = folded->read_to;
  }
  // The asker has the source of the revision it names.
  const bool has_source =
      asked != nullptr && asked->known_revision == head.revision;
  if (history.Obeyed() && !has_source) {
    head.source = history.Obeyed()->source;
  }
  wire::messageUnion body;
  body.Set(std::move(head));
  reply(std::move(body));
}

std::vector<service_status> host_reporter::ServiceStatuses() const {
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

}  // namespace slatestall
