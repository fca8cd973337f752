#include "slatestall/policy/config_republication.h"

#include <algorithm>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// Longer than a record takes to reach every host.
constexpr milliseconds kDelayPerRank{3000};
/// Hosts beyond this rank share the last delay: it is reached only when all
/// before it failed, and a doubled republication does no harm.
constexpr std::size_t kMaxRank = 20;

}  // namespace

bool RepublicationDue(const republication_inputs& inputs) {
  if (inputs.head.revision == 0) {
    return false;
  }
  // No anchor left: a host that started now could not tell the head.
  if (inputs.first_kept > inputs.anchor_offset) {
    return true;
  }
  if (inputs.head.read_to - inputs.anchor_offset > kMaxRecordsSinceAnchor) {
    return true;
  }
  return inputs.retention.count() > 0 &&
         inputs.anchor_age > inputs.retention / 2;
}

milliseconds RepublicationDelay(const std::string& self,
                                const std::vector<std::string>& hosts,
                                std::uint64_t anchor_offset) {
  const auto own = StableHash(self, anchor_offset);
  const auto rank = static_cast<std::size_t>(std::count_if(
      hosts.begin(), hosts.end(),
      [&](const auto& host) { return StableHash(host, anchor_offset) < own; }));
  return kDelayPerRank * static_cast<int>(std::min(rank, kMaxRank));
}

}  // namespace slatestall
