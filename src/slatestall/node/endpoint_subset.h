#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/model/time.h"
#include "slatestall/node/poll_schedule.h"

namespace slatestall {

/// Fewest endpoints of a service that a host uses, where there are as many.
inline constexpr std::size_t kMinSubset = 8;
/// Hosts that should use one endpoint, where `kMinSubset` allows.
inline constexpr std::size_t kHostsPerEndpoint = 16;

/// @brief How many of `endpoints` one of `hosts` uses: all at small sites, and
/// a number that does not grow with the hosts in a large fleet.
std::size_t SubsetSize(std::size_t endpoints, std::size_t hosts);

/// @brief The endpoints of one service that `host` uses: stable while others
/// come and go, half of them from its own failure domain if there are.
std::set<std::string> SubsetOf(const std::vector<endpoint>& endpoints,
                               const std::string& host,
                               const std::string& failure_domain,
                               std::size_t size);

/// @brief Hosts that use one of a service's endpoints, on average.
std::size_t UsersOf(std::size_t endpoints, std::size_t hosts);

/// @brief Time between two polls of one endpoint by one host that uses
/// `used` endpoints: at most 20 polls a second of a host in a small fleet and
/// 4 in a large one, and no more than some 20 a second of an endpoint.
/// @param most_users Of any service.
poll_pace PollPace(std::size_t used, std::size_t hosts, std::size_t most_users);

}  // namespace slatestall
