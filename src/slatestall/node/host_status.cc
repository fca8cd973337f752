#include "slatestall/node/host_status.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

struct status_round {
  std::vector<host_status> statuses;
  std::size_t open = 0;
  std::function<void(std::vector<host_status>)> done;
};

host_status StatusOf(const peer_address& peer, const peer_reply& reply) {
  host_status status;
  status.reachable = false;
  const auto* body = reply.end == peer_call_end::kReplied
                         ? reply.body.Asstatus_reply()
                         : nullptr;
  if (body != nullptr) {
    status = DecodeHostStatus(body->json);
  }
  // Another host may have the address by now.
  if (status.host.name != peer.host) {
    status = {};
    status.reachable = false;
  }
  status.host.name = peer.host;
  status.peer_address = peer.address;
  return status;
}

}  // namespace

std::string EncodeHostStatus(const host_status& status) {
  return json{
      {"host", status.host.name},    {"incarnation", status.host.incarnation},
      {"revision", status.revision}, {"since_ms", status.since.count()},
      {"draining", status.draining}, {"http_address", status.http_address}}
      .dump();
}

host_status DecodeHostStatus(const std::string& text) {
  host_status status;
  try {
    const auto body = ParseJson(text);
    status.host.name = body.at("host").get<std::string>();
    status.host.incarnation = body.at("incarnation").get<std::uint64_t>();
    status.revision = body.at("revision").get<config_revision>();
    status.since = milliseconds{body.at("since_ms").get<std::int64_t>()};
    status.draining = body.at("draining").get<bool>();
    status.http_address = body.value("http_address", "");
  } catch (const json::exception&) {
    status = {};
    status.reachable = false;
  }
  return status;
}

void AskStatuses(const peer_call& call, const std::vector<peer_address>& peers,
                 milliseconds timeout,
                 std::function<void(std::vector<host_status>)> done) {
  if (peers.empty()) {
    done({});
    return;
  }
  auto round = std::make_shared<status_round>();
  round->statuses.resize(peers.size());
  round->open = peers.size();
  round->done = std::move(done);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    wire::messageUnion request;
    request.Set(wire::status_requestT{});
    call(peers[i].host, std::move(request), timeout,
         [round, i, peer = peers[i]](const peer_reply& reply) {
           round->statuses[i] = StatusOf(peer, reply);
           if (--round->open == 0) {
             round->done(std::move(round->statuses));
           }
         });
  }
}

}  // namespace slatestall
