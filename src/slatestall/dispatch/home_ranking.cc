#include "slatestall/dispatch/home_ranking.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {

namespace {

/// Below one, whose logarithm is no divisor.
constexpr double kLargestDraw = 1.0 - 1e-12;

/// Of the largest weight: below it, a home's calls wait for its link.
constexpr double kWeakHostPart = 0.25;

/// Weighted rendezvous: the draw of a host, stretched by its weight.
double Score(const std::string& host, std::uint64_t seed, double weight) {
  constexpr double kTwoTo64 = 18446744073709551616.0;
  const double draw =
      (static_cast<double>(StableHash(host, seed)) + 1.0) / kTwoTo64;
  return -weight / std::log(std::min(draw, kLargestDraw));
}

}  // namespace

/// Each weak host is seldom drawn, but where most hosts are weak some shard has
/// one for its home, and all its calls queue on that host's link. So the weak
/// ones come last.
std::vector<std::string> RankHomes(const std::string& shard,
                                   const std::vector<home_candidate>& hosts,
                                   const disabled_mechanisms& disabled) {
  const double least_part =
      disabled.Has(mechanism::kWeakHostsLast) ? 0 : kWeakHostPart;
  const std::uint64_t seed = StableHash(shard);
  double largest = 0;
  for (const auto& candidate : hosts) {
    largest = std::max(largest, candidate.weight);
  }
  // Strong ones first, then by their draw.
  std::vector<std::tuple<bool, double, std::string>> ranked;
  ranked.reserve(hosts.size());
  for (const auto& candidate : hosts) {
    ranked.emplace_back(candidate.weight >= least_part * largest,
                        Score(candidate.host, seed, candidate.weight),
                        candidate.host);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& [is_strong, score, host] : ranked) {
    names.push_back(std::move(host));
  }
  return names;
}

}  // namespace slatestall
