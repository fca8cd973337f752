#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "slatestall/config/settings.h"
#include "slatestall/model/configuration.h"
#include "slatestall/model/ids.h"
#include "slatestall/node/outcome_service.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/policy/membership_view.h"

namespace slatestall {

/// @brief A source parsed and checked; nothing where it has a problem.
std::optional<configuration> CheckSource(const std::string& source);

/// @brief Wall clock, seconds since 1970.
std::int64_t WallClockSeconds();

/// @brief How long the log keeps records, by the settings or assumed.
std::chrono::seconds RetentionOf(const settings& options);

peer_node_options PeerOptions(const settings& options);

/// @brief Where other hosts reach this one.
std::string PeerAddress(const settings& options, std::uint16_t port);

/// @brief What this host says of itself when it starts.
member_digest OwnDigest(const settings& options, const host_id& self,
                        std::uint16_t port);

/// @brief What outcomes may conclude about a host.
host_presence PresenceOf(const membership_view& members, const host_id& host,
                         time_point now);

}  // namespace slatestall
