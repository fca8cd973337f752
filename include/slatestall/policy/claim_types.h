#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/ids.h"

namespace slatestall {

/// @brief An idempotency key; the same text of two workspaces is two keys.
/// @ingroup policy
struct claim_key {
  std::string workspace;
  std::string key;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang-tidy 14.
  friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// @brief The answer of an ended request, kept for later requests.
struct claim_outcome {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const claim_outcome&, const claim_outcome&) = default;
};

using claim_outcome_ptr = std::shared_ptr<const claim_outcome>;

/// @brief A request that wants to hold a key. The request id is the id of the
/// claim: the same attempt recorded twice counts once.
struct claim_attempt {
  claim_key key;
  std::uint64_t body_hash = 0;
  std::string request;
  host_id holder;  ///< Host that would run it.
};

/// @brief How the holder of a key ended.
struct claim_ending {
  claim_key key;
  std::uint64_t body_hash = 0;  ///< 0: not known to the sender.
  std::string request;
  bool released = false;      ///< Nothing was dispatched; the key is free.
  claim_outcome_ptr outcome;  ///< Null where released, or too large to keep.
};

enum class claim_result {
  kWon,
  kHeld,     ///< Another request holds the key.
  kEnded,    ///< The request that held the key has ended.
  kRefused,  ///< See `refusal`.
};

/// @brief What the authority over a key says to an attempt.
struct claim_answer {
  claim_result result = claim_result::kRefused;
  host_id holder;                  ///< `kHeld`.
  claim_outcome_ptr outcome;       ///< `kEnded`; null where not at hand.
  bool outcome_in_log = false;     ///< `kEnded`: readable at `end_position`.
  std::uint64_t end_position = 0;  ///< `kEnded`.
  error_kind refusal = error_kind::kClaimUnavailable;  ///< `kRefused`.
  std::string detail;
  /// The attempt may be recorded although the answer does not say so; its
  /// host has to release it.
  bool may_be_claimed = false;
};

/// @brief A refusal of `kind`.
inline claim_answer RefusedClaim(error_kind kind, std::string detail) {
  claim_answer answer;
  answer.refusal = kind;
  answer.detail = std::move(detail);
  return answer;
}

}  // namespace slatestall
