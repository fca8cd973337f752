#include "slatestall/dispatch/home_ranking.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {

std::vector<std::string> RankHomes(const std::string& shard,
                                   const std::vector<std::string>& hosts) {
  const std::uint64_t seed = StableHash(shard);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(hosts.size());
  for (const auto& host : hosts) {
    ranked.emplace_back(StableHash(host, seed), host);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& [rank, host] : ranked) {
    names.push_back(std::move(host));
  }
  return names;
}

}  // namespace slatestall
