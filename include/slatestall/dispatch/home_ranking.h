#pragma once

#include <string>
#include <vector>

namespace slatestall {

/// @brief A host that may be a home.
/// @ingroup dispatch
struct home_candidate {
  std::string host;
  /// Share of the work that it should get; as a rule its processor's.
  double weight = 1.0;
};

/// Of the largest weight. A host of a quarter still carries a home's calls; one
/// on a link of a twentieth made every request of three stages 0.5 s later.
inline constexpr double kWeakHostPart = 0.25;

/// @brief Hosts in the order in which they are to be the home of a shard, by
/// rendezvous hashing: all hosts that know the same hosts agree without a word,
/// and where one goes, only its own shards move. A host of twice the weight is
/// first for twice as many shards.
/// @param least_part Hosts with less than this part of the largest weight come
/// last.
std::vector<std::string> RankHomes(const std::string& shard,
                                   const std::vector<home_candidate>& hosts,
                                   double least_part = kWeakHostPart);

}  // namespace slatestall
