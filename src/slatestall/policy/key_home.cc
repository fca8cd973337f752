#include "slatestall/policy/key_home.h"

#include "slatestall/policy/key_text.h"

namespace slatestall {
namespace {

constexpr int kCheckpointsPerLifetime = 64;
constexpr char kSeparator = '\0';

}  // namespace

key_home::key_home(host_id home, std::uint64_t secret, duration lifetime,
                   claim_table_limits limits)
    : home_(std::move(home)),
      secret_(secret),
      lifetime_(lifetime),
      table_(limits) {}

key_home::key_home(const key_home_state& state, duration lifetime,
                   claim_table_limits limits, time_point now)
    : home_(state.home),
      secret_(state.secret),
      lifetime_(lifetime),
      minted_(state.minted),
      expired_(state.expired),
      table_(limits) {
  checkpoints_.push_back({now, minted_});
  for (const auto& row : state.rows) {
    if (row.ended) {
      table_.End({row.attempt.key, row.attempt.body_hash, row.attempt.request,
                  false, row.outcome},
                 row.position);
    } else {
      table_.Claim(row.attempt, row.position);
    }
  }
}

std::string key_home::Mint(const std::string& workspace, time_point now) {
  Expire(now);
  const std::uint64_t number = minted_++;
  return MintedKeyText({home_, number, CheckOf(workspace, number)});
}

// Hashed twice with the secret at both ends: the outer hash hides the inner
// state, so that keys which a caller has seen do not give others away.
std::string key_home::CheckOf(const std::string& workspace,
                              std::uint64_t number) const {
  const std::string text = workspace + kSeparator + HostText(home_) +
                           kSeparator + std::to_string(number);
  const std::uint64_t inner = StableHash(text, secret_);
  return StableHashText(std::to_string(inner ^ secret_), ~secret_);
}

bool key_home::Usable(const claim_key& key, time_point now,
                      std::uint64_t& number, claim_answer& refusal) {
  const auto parsed = ParseMintedKey(key.key);
  const bool ours = parsed && parsed->home == home_ &&
                    parsed->number < minted_ &&
                    parsed->check == CheckOf(key.workspace, parsed->number);
  if (!ours) {
    refusal = RefusedClaim(error_kind::kInvalidRequest,
                           "the key was not minted for this workspace");
    return false;
  }
  Expire(now);
  if (parsed->number < expired_) {
    refusal = RefusedClaim(error_kind::kKeyExpired,
                           "the key is older than the outcomes kept");
    return false;
  }
  number = parsed->number;
  return true;
}

claim_answer key_home::Claim(const claim_attempt& attempt, time_point now) {
  std::uint64_t number = 0;
  claim_answer refusal;
  if (!Usable(attempt.key, now, number, refusal)) {
    return refusal;
  }
  return table_.Claim(attempt, number);
}

claim_answer key_home::Find(const claim_attempt& attempt, time_point now) {
  std::uint64_t number = 0;
  claim_answer refusal;
  if (!Usable(attempt.key, now, number, refusal)) {
    return refusal;
  }
  return table_.Find(attempt);
}

void key_home::End(const claim_ending& ending) {
  const auto parsed = ParseMintedKey(ending.key.key);
  if (!parsed || parsed->home != home_ || parsed->number < expired_) {
    return;
  }
  // Only the holder's ending counts; anything else is late or mistaken.
  claim_attempt holder;
  holder.key = ending.key;
  holder.request = ending.request;
  const bool holds = table_.Find(holder).result == claim_result::kWon;
  if (ending.released || holds) {
    table_.End(ending, parsed->number);
  }
}

void key_home::Expire(time_point now) {
  const duration step = lifetime_ / kCheckpointsPerLifetime;
  const bool due =
      checkpoints_.empty() || (checkpoints_.back().when + step <= now &&
                               checkpoints_.back().number < minted_);
  if (due) {
    checkpoints_.push_back({now, minted_});
  }
  std::uint64_t expired = expired_;
  while (!checkpoints_.empty() &&
         checkpoints_.front().when + lifetime_ <= now) {
    expired = checkpoints_.front().number;
    checkpoints_.pop_front();
  }
  if (expired > expired_) {
    expired_ = expired;
    table_.Forget(expired_);
  }
}

key_home_state key_home::State() const {
  return {home_, secret_, minted_, expired_, table_.Rows()};
}

}  // namespace slatestall
