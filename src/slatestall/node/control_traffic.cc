#include "slatestall/node/control_traffic.h"

#include <utility>

namespace slatestall {
namespace {

constexpr std::string_view kPrefix = "slatestall_control_";

std::string Line(const std::string& metric, std::string_view to,
                 std::string_view way, std::uint64_t value) {
  std::string line = metric + "{to=\"" + std::string(to) + "\"";
  if (!way.empty()) {
    line += ",way=\"" + std::string(way) + "\"";
  }
  return line + "} " + std::to_string(value) + "\n";
}

}  // namespace

control_traffic::control_traffic(std::string log_url, std::string host_list_url,
                                 std::string weight_store_url)
    : log_prefix_(std::move(log_url) + "/"),
      list_prefix_(std::move(host_list_url) + "/hosts"),
      weights_prefix_(std::move(weight_store_url)) {}

void control_traffic::CountCall(const std::string& url, std::uint64_t sent,
                                std::uint64_t received) {
  counts& party = Of(PartyOf(url));
  ++party.messages;
  party.sent += sent;
  party.received += received;
}

void control_traffic::UsePeers(const peer_node& peers) {
  std::uint64_t messages = 0;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  for (const auto& [kind, traffic] : peers.Sent()) {
    messages += traffic.messages;
    sent += traffic.bytes;
  }
  for (const auto& [kind, traffic] : peers.Received()) {
    messages += traffic.messages;
    received += traffic.bytes;
  }
  counts& party = Of(control_party::kPeers);
  party.messages = messages;
  party.sent = sent;
  party.received = received;
}

// The three services of the platform may share one address: the path of the
// list tells it from the log.
control_party control_traffic::PartyOf(const std::string& url) const {
  if (url.starts_with(list_prefix_)) {
    return control_party::kHostList;
  }
  if (!weights_prefix_.empty() &&
      url.starts_with(weights_prefix_ + "/weights")) {
    return control_party::kWeightStore;
  }
  return url.starts_with(log_prefix_) ? control_party::kLog
                                      : control_party::kEndpoints;
}

std::string control_traffic::Metrics() const {
  const std::string messages = std::string(kPrefix) + "messages_total";
  const std::string bytes = std::string(kPrefix) + "bytes_total";
  std::string text = "# TYPE " + messages + " counter\n";
  for (const auto& entry : kControlPartyNames) {
    const auto& party = counts_.at(static_cast<std::size_t>(entry.value));
    text += Line(messages, entry.name, {}, party.messages);
  }
  text += "# TYPE " + bytes + " counter\n";
  for (const auto& entry : kControlPartyNames) {
    const auto& party = counts_.at(static_cast<std::size_t>(entry.value));
    text += Line(bytes, entry.name, "sent", party.sent) +
            Line(bytes, entry.name, "received", party.received);
  }
  return text;
}

}  // namespace slatestall
