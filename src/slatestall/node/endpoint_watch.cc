#include "slatestall/node/endpoint_watch.h"

#include <algorithm>
#include <cstdint>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

// splitmix64's mixer: all pairs of hosts and endpoints are weighed, and a hash
// of both texts for each pair would cost ten times as much.
std::uint64_t Weigh(std::uint64_t host, std::uint64_t endpoint) {
  std::uint64_t mixed = host ^ (endpoint * 0x9e3779b97f4a7c15U);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

}  // namespace

std::set<std::string> WatchedBy(const std::string& host,
                                const std::vector<std::string>& live_hosts,
                                const std::set<std::string>& endpoints) {
  const std::uint64_t own = StableHash(host);
  std::vector<std::uint64_t> others;
  others.reserve(live_hosts.size());
  for (const auto& other : live_hosts) {
    if (other != host) {
      others.push_back(StableHash(other));
    }
  }
  std::set<std::string> watched;
  for (const auto& address : endpoints) {
    const std::uint64_t endpoint = StableHash(address);
    const std::uint64_t weight = Weigh(own, endpoint);
    const auto before = std::count_if(
        others.begin(), others.end(),
        [&](std::uint64_t other) { return Weigh(other, endpoint) > weight; });
    if (static_cast<std::size_t>(before) < kWatchers) {
      watched.insert(address);
    }
  }
  return watched;
}

}  // namespace slatestall
