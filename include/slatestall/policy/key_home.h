#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/policy/claim_table.h"
#include "slatestall/policy/claim_types.h"

namespace slatestall {

/// @brief What a successor needs to answer for the keys of a drained host.
/// @ingroup policy
struct key_home_state {
  host_id home;
  std::uint64_t secret = 0;
  std::uint64_t minted = 0;   ///< Numbers 0 to `minted` - 1 exist,
  std::uint64_t expired = 0;  ///< of which 0 to `expired` - 1 are forgotten.
  std::vector<claim_table::row> rows;
};

/// @brief The keys minted by one incarnation of one host. Its memory alone
/// decides who may run under them; no log is asked.
class key_home {
 public:
  /// @param secret Random; makes keys hard to guess.
  /// @param lifetime How long a key can be used after it was minted.
  key_home(host_id home, std::uint64_t secret, duration lifetime,
           claim_table_limits limits);
  /// @brief Takes over the keys of a drained host.
  key_home(const key_home_state& state, duration lifetime,
           claim_table_limits limits, time_point now);

  /// @brief A key that only `workspace` can use.
  std::string Mint(const std::string& workspace, time_point now);

  claim_answer Claim(const claim_attempt& attempt, time_point now);
  /// @brief As `Claim`, but changes nothing.
  claim_answer Find(const claim_attempt& attempt, time_point now);
  void End(const claim_ending& ending);

  /// @brief Forgets the keys whose lifetime is over. Call every minute: keys
  /// minted between two calls live as long as the youngest of them.
  void Expire(time_point now);

  key_home_state State() const;
  const claim_table& Table() const { return table_; }
  /// @brief Whether every minted key has expired.
  bool IsSpent() const { return expired_ == minted_; }
  std::uint64_t Minted() const { return minted_; }

 private:
  /// Keys under `number` were minted before `when`.
  struct checkpoint {
    time_point when;
    std::uint64_t number = 0;
  };

  std::string CheckOf(const std::string& workspace, std::uint64_t number) const;
  /// Refuses a key that is forged or expired; else `number` gets its number.
  bool Usable(const claim_key& key, time_point now, std::uint64_t& number,
              claim_answer& refusal);

  host_id home_;
  std::uint64_t secret_;
  duration lifetime_;
  std::uint64_t minted_ = 0;
  std::uint64_t expired_ = 0;
  std::deque<checkpoint> checkpoints_;
  claim_table table_;
};

}  // namespace slatestall
