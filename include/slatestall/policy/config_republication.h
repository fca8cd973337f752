#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/policy/config_record.h"

namespace slatestall {

/// @brief What decides whether the head should be republished.
/// @ingroup policy
struct republication_inputs {
  head_claim head;                  ///< As this host would claim it.
  std::uint64_t anchor_offset = 0;  ///< `read_to` of the newest republication.
  std::uint64_t first_kept = 0;     ///< Oldest offset the log still keeps.
  std::chrono::seconds anchor_age{0};
  std::chrono::seconds retention{0};  ///< 0: not known.
};

/// @brief Records after the newest republication that a starting host should
/// have to check at most.
inline constexpr std::uint64_t kMaxRecordsSinceAnchor = 500;

/// @brief Whether some host should republish now.
bool RepublicationDue(const republication_inputs& inputs);

/// @brief How long `self` lets others republish first. The hosts are ranked
/// by a hash of what is to be republished, so that with all alive one record
/// is written, and with the first ones dead the next follows.
milliseconds RepublicationDelay(const std::string& self,
                                const std::vector<std::string>& hosts,
                                std::uint64_t anchor_offset);

}  // namespace slatestall
