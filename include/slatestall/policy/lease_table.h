#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "slatestall/model/ids.h"
#include "slatestall/model/name_table.h"

namespace slatestall {

/// @brief What a record of the stream "leases" asks for.
/// @ingroup policy
enum class lease_action { kAcquire, kRenew, kRelease };

inline constexpr name_table<lease_action, 3> kLeaseActionNames{{
    {lease_action::kAcquire, "acquire"},
    {lease_action::kRenew, "renew"},
    {lease_action::kRelease, "release"},
}};

/// @brief One record of the stream "leases".
struct lease_record {
  std::uint64_t offset = 0;
  std::string lease;
  lease_action action = lease_action::kAcquire;
  host_id host;
  std::string id;  ///< Of this append, to find it after a lost answer.
  /// The writer had read the stream up to here, itself excluded, and judged
  /// by that that it may write the record.
  std::uint64_t read_to = 0;
};

/// @brief Who holds a lease by the log's order. Whether the time has run out
/// is for the clocks of holder and candidates, see `lease_keeper`.
struct lease_holder {
  host_id host;
  std::uint64_t fencing = 0;      ///< Offset of the acquisition, plus one.
  std::uint64_t last_offset = 0;  ///< Of its last record that took effect.
};

/// @brief Folds the stream "leases". A record takes effect only where no other
/// record of the same lease came between what its writer had read and itself,
/// so of two writers that judged alike the first wins, for every reader.
class lease_table {
 public:
  /// @brief Takes the next record, in the order of offsets.
  /// @return Whether it took effect.
  bool Take(const lease_record& record);

  /// @brief The holder, or nothing where released or never held.
  std::optional<lease_holder> HolderOf(const std::string& lease) const;
  /// @brief Whether its last holder was seen to give it up.
  bool IsReleased(const std::string& lease) const;

 private:
  struct lease_state {
    std::optional<lease_holder> holder;
    bool released = false;
    std::uint64_t last_record = 0;  ///< Offset plus one, of any effect.
  };

  bool Apply(lease_state& state, const lease_record& record);

  std::map<std::string, lease_state> leases_;
};

}  // namespace slatestall
