#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace slatestall {

/// @brief The host that is responsible for `key`, by rendezvous hashing: when
/// a host comes or goes, only the keys it is responsible for change hands.
/// Empty where there are no hosts.
/// @ingroup policy
std::string RendezvousHost(std::string_view key,
                           const std::vector<std::string>& hosts);

}  // namespace slatestall
