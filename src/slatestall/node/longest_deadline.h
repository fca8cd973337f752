#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/platform/host_list.h"
#include "slatestall/policy/control_snapshot.h"

namespace slatestall {

/// @brief The other hosts of the system by the platform's list.
std::vector<peer_address> PeersOf(const std::vector<listed_host>& hosts,
                                  const std::string& self);

/// @brief An equal part of each workspace's limits for one of `hosts`.
std::map<std::string, workspace_share> EqualShares(const configuration& content,
                                                   std::uint32_t hosts);

/// @brief The longest deadline that the configuration allows.
milliseconds LongestDeadlineOf(const configuration& content);

}  // namespace slatestall
