#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "slatestall/peer/messages_generated.h"
#include "slatestall/policy/key_home.h"

namespace slatestall {

/// @brief The keys of which this host is home: those it minted and those that
/// drained hosts handed over. Traffic threads mint, so a mutex guards it; all
/// other members are for the control thread.
/// @ingroup node
class key_directory {
 public:
  key_directory(const host_id& self, std::uint64_t secret, duration lifetime,
                claim_table_limits limits);

  /// @brief A key, or nothing once frozen. Any thread.
  std::string Mint(const std::string& workspace, time_point now);

  /// @brief Whether the keys of `home` are decided here.
  bool Holds(const host_id& home) const;
  /// @brief For a held home; once frozen always refused.
  claim_answer Claim(const host_id& home, const claim_attempt& attempt,
                     time_point now);
  /// @brief As `Claim` without a change; `kNotFound` for an unused key.
  claim_answer Find(const host_id& home, const claim_attempt& attempt,
                    time_point now);
  /// @brief False where the ending could not be taken.
  bool End(const host_id& home, const claim_ending& ending);

  /// @brief Takes one part of a handover. False: not accepted.
  bool TakeOver(const wire::key_handoverT& part, time_point now);

  /// @brief Forgets what is expired; drops taken-over homes without a key, and
  /// handovers that came to a stop.
  void Expire(time_point now);

  /// @brief Decides nothing more, so that what is handed over stays true.
  void Freeze();
  bool IsFrozen() const;
  /// @brief Everything held, for a handover.
  std::vector<key_home_state> States() const;

  std::size_t Keys() const;
  std::size_t OutcomeBytes() const;
  std::uint64_t Minted() const;

 private:
  /// A handover whose last part has not come.
  struct incoming {
    key_home_state state;
    std::uint32_t next_part = 0;
    time_point since{};
  };

  key_home* HomeOf(const host_id& home) const;
  std::size_t KeysLocked() const;
  bool Append(const wire::key_handoverT& part, incoming& taken, time_point now);

  mutable std::mutex mutex_;
  const host_id self_;
  const duration lifetime_;
  const claim_table_limits limits_;
  bool frozen_ = false;
  std::map<host_id, std::unique_ptr<key_home>> homes_;
  std::map<host_id, incoming> incoming_;
};

}  // namespace slatestall
