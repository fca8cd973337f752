#pragma once

#include <string>
#include <vector>

namespace slatestall {

/// @brief Hosts in the order in which they are to be the home of a shard, by
/// rendezvous hashing: all hosts that know the same hosts agree without a word,
/// and where one goes, only its own shards move.
/// @ingroup dispatch
std::vector<std::string> RankHomes(const std::string& shard,
                                   const std::vector<std::string>& hosts);

}  // namespace slatestall
