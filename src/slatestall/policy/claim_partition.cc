#include "slatestall/policy/claim_partition.h"

#include <algorithm>

#include "slatestall/policy/membership_rendezvous.h"

namespace slatestall {

std::uint32_t PartitionOf(const claim_key& key, std::uint32_t partitions) {
  const std::uint64_t hash = StableHash(key.key, StableHash(key.workspace));
  return static_cast<std::uint32_t>(hash % std::max(partitions, 1U));
}

std::string ClaimStream(std::uint32_t partition) {
  return "claims-" + std::to_string(partition);
}

std::string WriterOf(std::uint32_t partition,
                     const std::vector<std::string>& hosts) {
  return RendezvousHost(ClaimStream(partition), hosts);
}

}  // namespace slatestall
