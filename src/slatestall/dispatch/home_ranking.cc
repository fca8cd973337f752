#include "slatestall/dispatch/home_ranking.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {

namespace {

/// Below one, whose logarithm is no divisor.
constexpr double kLargestDraw = 1.0 - 1e-12;

/// Weighted rendezvous: the draw of a host, stretched by its weight.
double Score(const std::string& host, std::uint64_t seed, double weight) {
  constexpr double kTwoTo64 = 18446744073709551616.0;
  const double draw =
      (static_cast<double>(StableHash(host, seed)) + 1.0) / kTwoTo64;
  return -weight / std::log(std::min(draw, kLargestDraw));
}

}  // namespace

std::vector<std::string> RankHomes(const std::string& shard,
                                   const std::vector<home_candidate>& hosts) {
  const std::uint64_t seed = StableHash(shard);
  std::vector<std::pair<double, std::string>> ranked;
  ranked.reserve(hosts.size());
  for (const auto& candidate : hosts) {
    ranked.emplace_back(Score(candidate.host, seed, candidate.weight),
                        candidate.host);
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
