#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief What a host answers when asked for its status.
struct host_status {
  host_id host;
  std::string peer_address;
  std::string http_address;  ///< Of callers and operators; empty: not told.
  config_revision revision = 0;
  milliseconds since{0};  ///< How long the revision has been in force.
  bool draining = false;
  bool reachable = true;
};

std::string EncodeHostStatus(const host_status& status);

/// @brief Reads a peer's status; `reachable` is false where it is none.
host_status DecodeHostStatus(const std::string& json);

/// As `peer_node::Call`.
using peer_call = std::function<void(
    const std::string& host, wire::messageUnion request, milliseconds timeout,
    std::function<void(peer_reply)> done)>;

/// @brief Asks every peer for its status at once.
/// @param done Runs once, after the last answer or `timeout`.
void AskStatuses(const peer_call& call, const std::vector<peer_address>& peers,
                 milliseconds timeout,
                 std::function<void(std::vector<host_status>)> done);

}  // namespace slatestall
