#include "slatestall/system_view.h"

#include <algorithm>
#include <stdexcept>

namespace slatestall {
namespace {

using nlohmann::json;

bool IsAnyAddress(const std::string& address) {
  return address.rfind("0.0.0.0:", 0) == 0 || address.rfind("[::]:", 0) == 0;
}

// A host that listens on all its addresses says so; the others reach it at the
// one of its peer address, and so can an operator.
std::string ReachableAddress(const std::string& http, const std::string& peer) {
  if (!IsAnyAddress(http) || peer.empty() || IsAnyAddress(peer)) {
    return IsAnyAddress(http) ? "" : http;
  }
  return peer.substr(0, peer.rfind(':')) + http.substr(http.rfind(':'));
}

host_view HostFrom(const json& host) {
  host_view view;
  view.name = host.at("name").get<std::string>();
  view.http_address = ReachableAddress(host.value("http_address", ""),
                                       host.value("peer_address", ""));
  view.revision = host.at("revision").get<config_revision>();
  view.since = milliseconds(host.at("since_ms").get<std::int64_t>());
  view.draining = host.at("draining").get<bool>();
  view.reachable = host.at("reachable").get<bool>();
  view.behind = host.at("behind").get<bool>();
  return view;
}

system_view ReadView(const json& status) {
  system_view view;
  view.asked_host = status.at("host").get<std::string>();
  view.revision = status.at("revision").get<config_revision>();
  for (const json& host : status.at("hosts")) {
    view.hosts.push_back(HostFrom(host));
  }
  const json& log = status.at("log");
  view.log_reachable = log.at("reachable").get<bool>();
  view.log_trust = log.value("trust", "");
  view.endpoints = status.value("endpoints", json::object());
  return view;
}

}  // namespace

system_view SystemViewFrom(const json& status) {
  try {
    return ReadView(status);
  } catch (const json::exception& error) {
    throw std::invalid_argument(std::string("not a status: ") + error.what());
  }
}

std::optional<system_view> AskSystem(const send_admin_calls& send,
                                     const std::string& host,
                                     std::string& detail) {
  admin_call call;
  call.host = host;
  call.path = "/v1/admin/status";
  const admin_answer answer = SendOne(send, call);
  if (!answer.answered || answer.status != 200) {
    detail = DetailOf(answer);
    return std::nullopt;
  }
  try {
    return SystemViewFrom(answer.body);
  } catch (const std::invalid_argument& error) {
    detail = error.what();
    return std::nullopt;
  }
}

config_revision NewestRevision(const system_view& view) {
  config_revision newest = view.revision;
  for (const host_view& host : view.hosts) {
    newest = std::max(newest, host.revision);
  }
  return newest;
}

}  // namespace slatestall
