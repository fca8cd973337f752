#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "slatestall/policy/claim_types.h"

namespace slatestall {

/// @brief Bounds of one `claim_table`.
/// @ingroup policy
struct claim_table_limits {
  std::size_t max_keys = 200'000;  ///< Keys and released claims together.
  std::size_t max_outcome_bytes = std::size_t{32} << 20U;
};

/// @brief Who holds or held each key: the one state machine behind keys of
/// both kinds. Attempts and endings are applied in one order, that of the log
/// or that of arrival at the key's home; the first attempt on a free key wins.
///
/// Every record carries a position that never falls (log offset, or number of
/// the minted key), by which old keys are forgotten.
class claim_table {
 public:
  explicit claim_table(claim_table_limits limits);

  /// @brief Applies an attempt. Applied again it changes nothing.
  claim_answer Claim(const claim_attempt& attempt, std::uint64_t position);
  /// @brief What `Claim` would say of a key that is held or ended, without a
  /// change; `kRefused` with `kClaimUnavailable` for a free key.
  claim_answer Find(const claim_attempt& attempt) const;
  bool IsFree(const claim_key& key) const;

  /// @brief Applies an ending. Applied again it changes nothing.
  void End(const claim_ending& ending, std::uint64_t position);
  /// @brief Whether the ending has been applied.
  bool HasEnded(const claim_ending& ending) const;
  /// @brief The hash of the body first used with the key, or 0.
  std::uint64_t BodyHash(const claim_key& key) const;

  /// @brief Drops what is only known from positions under `below`.
  void Forget(std::uint64_t below);

  std::size_t Size() const { return entries_.size() + released_.size(); }
  bool HasRoomFor(std::size_t records) const {
    return Size() + records <= limits_.max_keys;
  }
  std::size_t OutcomeBytes() const { return outcome_bytes_; }

  /// @brief One line of the table, for a handover.
  struct row {
    claim_attempt attempt;
    bool ended = false;
    claim_outcome_ptr outcome;
    std::uint64_t position = 0;
  };
  std::vector<row> Rows() const;
  /// @brief Up to `max` lines that are only known from positions under
  /// `below`.
  std::vector<row> RowsBelow(std::uint64_t below, std::size_t max) const;

 private:
  struct entry {
    std::string request;  ///< Empty once ended.
    std::weak_ptr<const claim_outcome> outcome;
    const host_id* holder = nullptr;
    std::uint64_t body_hash = 0;
    std::uint64_t position = 0;  ///< Of the newest record about the key.
    std::uint64_t end_position = 0;
    bool ended = false;
    bool outcome_recorded = false;
  };

  static row RowOf(const std::string& text, const entry& found);
  claim_answer Describe(const entry& found, const claim_attempt& attempt) const;
  void Release(const claim_ending& ending, std::uint64_t position);
  void KeepOutcome(entry& ended, const claim_outcome_ptr& outcome);
  const host_id* Intern(const host_id& host);

  claim_table_limits limits_;
  std::unordered_map<std::string, entry> entries_;           ///< By `KeyText`.
  std::unordered_map<std::string, std::uint64_t> released_;  ///< By request.
  std::set<host_id> hosts_;
  std::deque<claim_outcome_ptr> outcomes_;  ///< Oldest first; owns them.
  std::size_t outcome_bytes_ = 0;
};

}  // namespace slatestall
