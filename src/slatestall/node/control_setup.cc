#include "slatestall/node/control_setup.h"

#include <utility>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/model/listen_address.h"
#include "slatestall/peer/gossip_service.h"

namespace slatestall {
namespace {

/// Where the settings do not say it. Too short costs a record now and then.
constexpr std::chrono::hours kAssumedRetention{24};

}  // namespace

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

std::string PeerAddress(const settings& options, std::uint16_t port) {
  if (!options.peer_address.empty()) {
    return options.peer_address;
  }
  return ParseListenAddress(options.peer_listen).address + ":" +
         std::to_string(port);
}

member_digest OwnDigest(const settings& options, const host_id& self,
                        std::uint16_t port) {
  member_digest digest;
  digest.host = self.name;
  digest.version.generation = GenerationNow();
  digest.version.incarnation = self.incarnation;
  digest.peer_address = PeerAddress(options, port);
  digest.failure_domain = options.failure_domain;
  return digest;
}

host_presence PresenceOf(const membership_view& members, const host_id& host,
                         time_point now) {
  if (members.HasEnded(host, now)) {
    return host_presence::kGone;
  }
  const auto* known = members.Find(host.name);
  const bool live = known != nullptr && known->reachable &&
                    (known->state == member_state::kLive ||
                     known->state == member_state::kDraining);
  return live ? host_presence::kLive : host_presence::kUnreachable;
}

std::chrono::seconds RetentionOf(const settings& options) {
  return options.log_retention.count() > 0
             ? options.log_retention
             : std::chrono::seconds(kAssumedRetention);
}

}  // namespace slatestall
