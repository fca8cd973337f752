#include "slatestall/node/key_directory.h"

#include <utility>

#include "slatestall/node/claim_messages.h"

namespace slatestall {
namespace {

constexpr milliseconds kForgetStoppedHandover{60'000};

}  // namespace

key_directory::key_directory(const host_id& self, std::uint64_t secret,
                             duration lifetime, claim_table_limits limits)
    : self_(self), lifetime_(lifetime), limits_(limits) {
  homes_[self] = std::make_unique<key_home>(self, secret, lifetime, limits);
}

std::string key_directory::Mint(const std::string& workspace, time_point now) {
  const std::lock_guard lock(mutex_);
  return frozen_ ? std::string() : homes_.at(self_)->Mint(workspace, now);
}

key_home* key_directory::HomeOf(const host_id& home) const {
  const auto found = homes_.find(home);
  return found == homes_.end() ? nullptr : found->second.get();
}

bool key_directory::Holds(const host_id& home) const {
  const std::lock_guard lock(mutex_);
  return HomeOf(home) != nullptr;
}

claim_answer key_directory::Claim(const host_id& home,
                                  const claim_attempt& attempt,
                                  time_point now) {
  const std::lock_guard lock(mutex_);
  key_home* const held = HomeOf(home);
  if (held == nullptr || frozen_) {
    return RefusedClaim(error_kind::kClaimUnavailable,
                        "the key's home is handing its keys over");
  }
  return held->Claim(attempt, now);
}

claim_answer key_directory::Find(const host_id& home,
                                 const claim_attempt& attempt, time_point now) {
  const std::lock_guard lock(mutex_);
  key_home* const held = HomeOf(home);
  if (held == nullptr || frozen_) {
    return RefusedClaim(error_kind::kClaimUnavailable,
                        "the key's home is handing its keys over");
  }
  claim_answer answer = held->Find(attempt, now);
  const bool is_free = answer.result == claim_result::kRefused &&
                       answer.refusal == error_kind::kClaimUnavailable;
  if (is_free) {
    answer.refusal = error_kind::kNotFound;
  }
  return answer;
}

bool key_directory::End(const host_id& home, const claim_ending& ending) {
  const std::lock_guard lock(mutex_);
  key_home* const held = HomeOf(home);
  // An ending taken while the keys are being handed over might be missing
  // from them; its host sends it again, to the successor.
  if (held == nullptr || frozen_) {
    return false;
  }
  held->End(ending);
  return true;
}

bool key_directory::TakeOver(const wire::key_handoverT& part, time_point now) {
  const std::lock_guard lock(mutex_);
  const host_id home{part.host, part.incarnation};
  // A part may come again after its answer was lost. Once the handover is
  // whole it changes nothing, or claims made since would be forgotten.
  if (homes_.contains(home)) {
    return true;
  }
  if (frozen_) {
    return false;
  }
  incoming& taken = incoming_[home];
  if (part.part == 0) {
    taken = incoming{};
  }
  if (part.part != taken.next_part) {
    return part.part + 1 == taken.next_part;
  }
  if (!Append(part, taken, now)) {
    incoming_.erase(home);
    return false;
  }
  if (part.last) {
    homes_[home] =
        std::make_unique<key_home>(taken.state, lifetime_, limits_, now);
    incoming_.erase(home);
  }
  return true;
}

bool key_directory::Append(const wire::key_handoverT& part, incoming& taken,
                           time_point now) {
  std::size_t arriving = part.entries.size();
  for (const auto& [home, other] : incoming_) {
    arriving += other.state.rows.size();
  }
  if (KeysLocked() + arriving > limits_.max_keys) {
    return false;
  }
  taken.state.home = {part.host, part.incarnation};
  taken.state.secret = part.secret;
  taken.state.minted = part.minted;
  taken.state.expired = part.expired;
  for (const auto& entry : part.entries) {
    taken.state.rows.push_back(FromMessage(*entry));
  }
  ++taken.next_part;
  taken.since = now;
  return true;
}

void key_directory::Expire(time_point now) {
  const std::lock_guard lock(mutex_);
  for (const auto& [home, held] : homes_) {
    held->Expire(now);
  }
  std::erase_if(homes_, [this](const auto& item) {
    return item.first != self_ && item.second->IsSpent();
  });
  std::erase_if(incoming_, [now](const auto& item) {
    return item.second.since + kForgetStoppedHandover <= now;
  });
}

void key_directory::Freeze() {
  const std::lock_guard lock(mutex_);
  frozen_ = true;
}

bool key_directory::IsFrozen() const {
  const std::lock_guard lock(mutex_);
  return frozen_;
}

std::vector<key_home_state> key_directory::States() const {
  const std::lock_guard lock(mutex_);
  std::vector<key_home_state> states;
  for (const auto& [home, held] : homes_) {
    if (held->Minted() > 0) {
      states.push_back(held->State());
    }
  }
  return states;
}

std::size_t key_directory::KeysLocked() const {
  std::size_t keys = 0;
  for (const auto& [home, held] : homes_) {
    keys += held->Table().Size();
  }
  return keys;
}

std::size_t key_directory::Keys() const {
  const std::lock_guard lock(mutex_);
  return KeysLocked();
}

std::size_t key_directory::OutcomeBytes() const {
  const std::lock_guard lock(mutex_);
  std::size_t bytes = 0;
  for (const auto& [home, held] : homes_) {
    bytes += held->Table().OutcomeBytes();
  }
  return bytes;
}

std::uint64_t key_directory::Minted() const {
  const std::lock_guard lock(mutex_);
  return homes_.at(self_)->Minted();
}

}  // namespace slatestall
