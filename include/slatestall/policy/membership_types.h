#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "slatestall/model/configuration.h"
#include "slatestall/model/ids.h"
#include "slatestall/model/name_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Orders what was said of one host. The generation orders its runs,
/// the sequence what one run said; incarnations only name the runs.
/// @ingroup policy
struct member_version {
  /// Seconds since 1970 at the start of the run; more where an earlier run
  /// of the same host is found to have had as much, whatever the clocks say.
  std::uint32_t generation = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang-tidy 14.
  auto operator<=>(const member_version&) const = default;
};

/// @brief What a host says of itself; relayed by others.
struct member_digest {
  std::string host;
  member_version version;
  std::string peer_address;
  std::string failure_domain;
  config_revision revision = 0;  ///< Configuration in force there.
  bool draining = false;
  bool drained = false;   ///< Dispatches nothing any more.
  std::string successor;  ///< Once drained: what tells who has its keys.
};

/// @brief One of the system's hosts as the platform's lagging list has it.
struct listed_member {
  std::string host;
  std::string peer_address;
  std::string failure_domain;
  bool leaving = false;
};

enum class member_state {
  kLive,
  kSuspect,   ///< Not reached, or said not to be; may still be running.
  kDraining,  ///< By its own word or by the list.
  kGone,      ///< Off the list and not heard of, or drained and off the list.
};

inline constexpr name_table<member_state, 4> kMemberStateNames{{
    {member_state::kLive, "live"},
    {member_state::kSuspect, "suspect"},
    {member_state::kDraining, "draining"},
    {member_state::kGone, "gone"},
}};

/// @brief What this host knows of another one, or of itself.
struct member {
  member_digest digest;  ///< `version.sequence` is 0 while never heard of.
  std::uint32_t name_hash = 0;  ///< Low half of the stable hash of the name.
  member_state state = member_state::kLive;
  bool listed = false;
  bool list_says_leaving = false;
  /// Calls from here get through, or were not tried lately.
  bool reachable = true;
  /// Held for unreachable since this version was said; any later word from
  /// it refutes that.
  bool suspected = false;
  std::string listed_address;  ///< As the list last had it.
  int contact_failures = 0;    ///< Since the last success.
  time_point heard_at{};       ///< Its word last grew newer.
  time_point run_since{};      ///< This incarnation was first heard of.
  time_point unlisted_at{};    ///< Valid while not listed.
  time_point retry_contact_at{};
};

}  // namespace slatestall
