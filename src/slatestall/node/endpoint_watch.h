#pragma once

#include <set>
#include <string>
#include <vector>

namespace slatestall {

/// Hosts that poll an endpoint on behalf of all.
inline constexpr std::size_t kWatchers = 2;

/// @brief Those of `endpoints` that `host` watches. Each endpoint has
/// `kWatchers` of the live hosts, or all where there are fewer; when a host
/// comes or goes, only its endpoints change hands.
/// @param live_hosts With or without `host` itself.
std::set<std::string> WatchedBy(const std::string& host,
                                const std::vector<std::string>& live_hosts,
                                const std::set<std::string>& endpoints);

}  // namespace slatestall
