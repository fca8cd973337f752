#include "slatestall/policy/claim_table.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

constexpr char kSeparator = '\0';  // In no workspace name and no HTTP header.

std::string KeyText(const claim_key& key) {
  return key.workspace + kSeparator + key.key;
}

claim_key KeyOf(const std::string& text) {
  const std::size_t split = text.find(kSeparator);
  return {text.substr(0, split), text.substr(split + 1)};
}

std::size_t BytesOf(const claim_outcome& outcome) {
  return sizeof(claim_outcome) + outcome.content_type.size() +
         outcome.body.size();
}

}  // namespace

claim_table::claim_table(claim_table_limits limits) : limits_(limits) {}

claim_answer claim_table::Claim(const claim_attempt& attempt,
                                std::uint64_t position) {
  const std::string text = KeyText(attempt.key);
  const auto found = entries_.find(text);
  if (found != entries_.end()) {
    entry& known = found->second;
    if (known.request == attempt.request) {
      known.position = std::max(known.position, position);
    }
    return Describe(known, attempt);
  }
  // An append or a peer call that was believed lost can arrive after its
  // release. Counted then, it would hold the key for a request that has long
  // been refused; so a released claim stays void.
  if (released_.contains(attempt.request)) {
    return RefusedClaim(error_kind::kClaimUnavailable,
                        "the claim was given up");
  }
  if (!HasRoomFor(1)) {
    return RefusedClaim(error_kind::kClaimUnavailable,
                        "the table of keys is full");
  }
  entry added;
  added.request = attempt.request;
  added.holder = Intern(attempt.holder);
  added.body_hash = attempt.body_hash;
  added.position = position;
  const auto at = entries_.emplace(text, std::move(added)).first;
  return Describe(at->second, attempt);
}

claim_answer claim_table::Find(const claim_attempt& attempt) const {
  const auto found = entries_.find(KeyText(attempt.key));
  if (found == entries_.end()) {
    return RefusedClaim(error_kind::kClaimUnavailable, "the key is free");
  }
  return Describe(found->second, attempt);
}

bool claim_table::IsFree(const claim_key& key) const {
  return !entries_.contains(KeyText(key));
}

claim_answer claim_table::Describe(const entry& found,
                                   const claim_attempt& attempt) const {
  const bool hashes_known = found.body_hash != 0 && attempt.body_hash != 0;
  if (hashes_known && found.body_hash != attempt.body_hash) {
    return RefusedClaim(error_kind::kKeyReused,
                        "the key was first used with another body");
  }
  claim_answer answer;
  if (found.ended) {
    answer.result = claim_result::kEnded;
    answer.outcome = found.outcome.lock();
    answer.outcome_in_log = found.outcome_recorded;
    answer.end_position = found.end_position;
    return answer;
  }
  answer.holder = *found.holder;
  answer.result = found.request == attempt.request ? claim_result::kWon
                                                   : claim_result::kHeld;
  return answer;
}

void claim_table::End(const claim_ending& ending, std::uint64_t position) {
  if (ending.released) {
    Release(ending, position);
    return;
  }
  // An ending is recorded only by a request that has run. So it counts even
  // where its claim is no longer in the log, or a losing claim is the oldest
  // one left: whatever a reader saw before, the key has been used.
  entry& ended = entries_[KeyText(ending.key)];
  ended.position = std::max(ended.position, position);
  if (ended.ended) {
    return;
  }
  ended.ended = true;
  ended.end_position = position;
  ended.outcome_recorded = ending.outcome != nullptr;
  const bool is_holders = ended.request == ending.request;
  if (ending.body_hash != 0 && !is_holders) {
    ended.body_hash = ending.body_hash;
  }
  std::string().swap(ended.request);
  KeepOutcome(ended, ending.outcome);
}

void claim_table::Release(const claim_ending& ending, std::uint64_t position) {
  const auto found = entries_.find(KeyText(ending.key));
  const bool holds = found != entries_.end() && !found->second.ended &&
                     found->second.request == ending.request;
  if (holds) {
    entries_.erase(found);
  }
  std::uint64_t& known = released_[ending.request];
  known = std::max(known, position);
}

bool claim_table::HasEnded(const claim_ending& ending) const {
  if (ending.released) {
    return released_.contains(ending.request);
  }
  const auto found = entries_.find(KeyText(ending.key));
  return found != entries_.end() && found->second.ended;
}

std::uint64_t claim_table::BodyHash(const claim_key& key) const {
  const auto found = entries_.find(KeyText(key));
  return found == entries_.end() ? 0 : found->second.body_hash;
}

void claim_table::Forget(std::uint64_t below) {
  std::erase_if(entries_, [below](const auto& item) {
    return item.second.position < below;
  });
  std::erase_if(released_,
                [below](const auto& item) { return item.second < below; });
}

void claim_table::KeepOutcome(entry& ended, const claim_outcome_ptr& outcome) {
  if (outcome == nullptr) {
    return;
  }
  outcomes_.push_back(outcome);
  outcome_bytes_ += BytesOf(*outcome);
  ended.outcome = outcome;
  while (outcome_bytes_ > limits_.max_outcome_bytes) {
    outcome_bytes_ -= BytesOf(*outcomes_.front());
    outcomes_.pop_front();
  }
}

const host_id* claim_table::Intern(const host_id& host) {
  return &*hosts_.insert(host).first;
}

claim_table::row claim_table::RowOf(const std::string& text,
                                    const entry& found) {
  row line;
  line.attempt.key = KeyOf(text);
  line.attempt.body_hash = found.body_hash;
  line.attempt.request = found.request;
  if (found.holder != nullptr) {
    line.attempt.holder = *found.holder;
  }
  line.ended = found.ended;
  line.outcome = found.outcome.lock();
  line.position = found.position;
  return line;
}

std::vector<claim_table::row> claim_table::Rows() const {
  std::vector<row> rows;
  rows.reserve(entries_.size());
  for (const auto& [text, found] : entries_) {
    rows.push_back(RowOf(text, found));
  }
  return rows;
}

std::vector<claim_table::row> claim_table::RowsBelow(std::uint64_t below,
                                                     std::size_t max) const {
  std::vector<row> rows;
  for (const auto& [text, found] : entries_) {
    if (rows.size() == max) {
      break;
    }
    if (found.position < below) {
      rows.push_back(RowOf(text, found));
    }
  }
  return rows;
}

}  // namespace slatestall
