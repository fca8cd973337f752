#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/policy/claim_types.h"

namespace slatestall {

/// @brief Partition of the log that orders the claims of a key.
/// @ingroup policy
std::uint32_t PartitionOf(const claim_key& key, std::uint32_t partitions);

/// @brief Name of the log's stream of a partition.
std::string ClaimStream(std::uint32_t partition);

/// @brief Host that writes a partition, by rendezvous hashing: when a host
/// comes or goes, only the partitions it wrote change hands. Empty where
/// there are no hosts.
std::string WriterOf(std::uint32_t partition,
                     const std::vector<std::string>& hosts);

}  // namespace slatestall
