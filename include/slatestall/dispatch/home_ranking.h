#pragma once

#include <string>
#include <vector>

#include "slatestall/dispatch/mechanism.h"

namespace slatestall {

/// @brief A host that may be a home.
/// @ingroup dispatch
struct home_candidate {
  std::string host;
  /// Share of the work that it should get; as a rule its processor's.
  double weight = 1.0;
};

/// @brief Hosts in the order in which they are to be the home of a shard, by
/// rendezvous hashing: all hosts that know the same hosts agree without a word,
/// and where one goes, only its own shards move. A host of twice the weight is
/// first for twice as many shards.
/// Weak hosts come last unless `kWeakHostsLast` is switched off.
std::vector<std::string> RankHomes(const std::string& shard,
                                   const std::vector<home_candidate>& hosts,
                                   const disabled_mechanisms& disabled = {});

}  // namespace slatestall
