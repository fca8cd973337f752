#include "slatestall/policy/claim_writer.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

constexpr std::size_t kRecordOverheadBytes = 96;  // Field names and numbers.
constexpr std::size_t kSparePart = 16;  // Of the table, for others' records.
constexpr int kRefusalsBeforeBodiesGo = 10;
constexpr std::size_t kCarriedAtOnce = 400;
constexpr std::int64_t kAgesPerRetention = 128;
constexpr std::uint64_t kForgetSteps = 64;  // Sweeps per retention time.

std::size_t BytesOf(const claim_key& key) {
  return key.workspace.size() + key.key.size();
}

std::size_t BytesOf(const claim_attempt& attempt) {
  return kRecordOverheadBytes + BytesOf(attempt.key) + attempt.request.size() +
         attempt.holder.name.size();
}

std::size_t BytesOf(const claim_ending& ending) {
  const std::size_t body =
      ending.outcome == nullptr
          ? 0
          : ending.outcome->body.size() + ending.outcome->content_type.size();
  return kRecordOverheadBytes + BytesOf(ending.key) + ending.request.size() +
         body;
}

}  // namespace

claim_writer::claim_writer(claim_writer_options options)
    : options_(options), table_(options.table) {}

bool claim_writer::Submit(const claim_attempt& attempt, time_point answer_by) {
  const auto known = claims_.find(attempt.request);
  if (known != claims_.end()) {
    known->second.answer_by = std::max(known->second.answer_by, answer_by);
    return true;
  }
  if (claims_.size() >= options_.max_pending) {
    return false;
  }
  pending_claim added;
  added.attempt = attempt;
  added.answer_by = answer_by;
  claims_.emplace(attempt.request, std::move(added));
  return true;
}

bool claim_writer::SubmitEnd(const claim_ending& ending, time_point now) {
  if (table_.HasEnded(ending)) {
    stored_.push_back(ending.request);
    return true;
  }
  if (ends_.size() >= options_.max_pending) {
    return false;
  }
  // The host gave the claim up: it must not be sent any more, and nobody
  // waits for its answer.
  if (ending.released) {
    claims_.erase(ending.request);
  }
  ends_.emplace(ending.request, pending_end{ending, now});
  return true;
}

std::optional<claim_batch> claim_writer::NextAppend(time_point now) {
  if (appending_ || settle_ != settle::kNone || now < next_append_) {
    return std::nullopt;
  }
  if (!HasClaimToSend() && !EndsAreDue(now) && carried_.empty()) {
    return std::nullopt;
  }
  // Claims have callers waiting for them, so endings leave them half a record.
  const std::size_t bytes = options_.max_batch_bytes;
  claim_batch batch;
  AddEnds(batch, HasClaimToSend() ? bytes / 2 : bytes);
  AddClaims(batch, bytes / 2);
  AddCarried(batch, bytes / 2);
  appending_ = true;
  next_append_ = now + options_.flush_interval;
  return batch;
}

bool claim_writer::IsCrowded() const {
  return full_ || !table_.HasRoomFor(options_.table.max_keys / kSparePart);
}

bool claim_writer::HasClaimToSend() const {
  return ready_ && !IsCrowded() &&
         std::any_of(claims_.begin(), claims_.end(), [this](const auto& item) {
           return table_.IsFree(item.second.attempt.key);
         });
}

bool claim_writer::EndsAreDue(time_point now) const {
  std::size_t bytes = 0;
  for (const auto& [request, pending] : ends_) {
    bytes += BytesOf(pending.ending);
    if (pending.since + options_.end_delay <= now ||
        bytes >= options_.max_batch_bytes) {
      return true;
    }
  }
  return false;
}

void claim_writer::AddEnds(claim_batch& batch, std::size_t max_bytes) {
  std::size_t bytes = 0;
  for (auto& [request, pending] : ends_) {
    const std::size_t size = BytesOf(pending.ending);
    if (bytes > 0 && bytes + size > max_bytes) {
      return;
    }
    if (pending.ending.body_hash == 0) {
      pending.ending.body_hash = table_.BodyHash(pending.ending.key);
    }
    bytes += size;
    batch.ends.push_back(pending.ending);
  }
}

void claim_writer::AddClaims(claim_batch& batch, std::size_t max_bytes) {
  if (!ready_ || IsCrowded()) {
    return;
  }
  std::size_t bytes = 0;
  std::set<claim_key> keys;
  for (auto& [request, pending] : claims_) {
    const claim_attempt& attempt = pending.attempt;
    if (!table_.IsFree(attempt.key) || keys.contains(attempt.key)) {
      continue;
    }
    const std::size_t size = BytesOf(attempt);
    if (bytes > 0 && bytes + size > max_bytes) {
      return;
    }
    bytes += size;
    keys.insert(attempt.key);
    pending.ever_sent = true;
    batch.claims.push_back(attempt);
  }
}

void claim_writer::AddCarried(claim_batch& batch, std::size_t max_bytes) {
  std::size_t bytes = 0;
  while (!carried_.empty() && bytes < max_bytes) {
    const claim_attempt& attempt = carried_.back().attempt;
    bytes += BytesOf(attempt);
    if (carried_.back().ended) {
      batch.ends.push_back(
          {attempt.key, attempt.body_hash, "", false, nullptr});
    } else {
      batch.claims.push_back(attempt);
    }
    carried_.pop_back();
  }
}

void claim_writer::Carry(std::int64_t wall_time) {
  const std::int64_t half = options_.retention.count() / 2;
  const bool may_carry =
      half > 0 && carried_.empty() && !appending_ && settle_ == settle::kNone;
  if (!may_carry) {
    return;
  }
  while (!ages_.empty() && ages_.front().second <= wall_time - half) {
    carry_below_ = ages_.front().first;
    ages_.pop_front();
  }
  auto rows = table_.RowsBelow(carry_below_, kCarriedAtOnce);
  if (table_.Size() > options_.table.max_keys / 2) {
    not_carried_ += rows.size();
    carry_below_ = 0;
    return;
  }
  carried_ = std::move(rows);
  if (carried_.empty()) {
    carry_below_ = 0;
  }
}

// A record between two noted ages waits for the second, at most a step longer.
// A writer's clock that runs ahead must not make its records look new for ever.
void claim_writer::NoteAge(const claim_log_record& record,
                           std::int64_t wall_time) {
  const std::int64_t step = options_.retention.count() / kAgesPerRetention;
  const std::int64_t written_at = std::min(record.batch.written_at, wall_time);
  const bool is_due =
      ages_.empty() ? written_at > 0 : written_at > ages_.back().second + step;
  if (options_.retention.count() > 0 && is_due) {
    ages_.emplace_back(record.position + 1, written_at);
  }
}

void claim_writer::Appended(claim_append end, std::uint64_t position,
                            time_point now) {
  appending_ = false;
  if (end == claim_append::kRefused) {
    next_append_ = now + options_.refused_delay;
    ++refusals_in_row_;
    if (refusals_in_row_ >= kRefusalsBeforeBodiesGo) {
      DropBodies();
    }
    Settle();
    return;
  }
  refusals_in_row_ = 0;
  // A lost answer leaves open whether the record is in the log. It is settled
  // by a read that begins from now on and reaches the end; what it does not
  // show is sent again under the same request ids, which count once however
  // often and however late they arrive.
  if (end == claim_append::kUnknown) {
    settle_ = settle::kUntilFullRead;
    full_read_begun_ = false;
    return;
  }
  settle_ = settle::kUntilReadBack;
  settle_position_ = position;
  if (read_from_ > settle_position_) {
    Settle();
  }
}

void claim_writer::ReadBegins() {
  full_read_begun_ = settle_ == settle::kUntilFullRead;
}

void claim_writer::Read(std::uint64_t first, std::uint64_t next,
                        const std::vector<claim_log_record>& records,
                        std::int64_t wall_time) {
  ForgetBelow(first, next);
  read_from_ = std::max(read_from_, first);
  full_ = false;
  for (const auto& record : records) {
    if (record.position < read_from_) {
      continue;
    }
    // A claim that is read but not remembered would let its key run again.
    // So a full table stops reading, which stops every win, until the log
    // drops old records.
    if (!table_.HasRoomFor(record.batch.Size())) {
      full_ = true;
      break;
    }
    Apply(record, wall_time);
    read_from_ = record.position + 1;
  }
  ready_ = ready_ || read_from_ >= next;
  CollectStored();
  const bool read_back =
      settle_ == settle::kUntilReadBack && read_from_ > settle_position_;
  const bool full_read = settle_ == settle::kUntilFullRead &&
                         full_read_begun_ && read_from_ >= next;
  if (read_back || full_read) {
    Settle();
  }
}

void claim_writer::Apply(const claim_log_record& record,
                         std::int64_t wall_time) {
  NoteAge(record, wall_time);
  for (const auto& ending : record.batch.ends) {
    table_.End(ending, record.position);
  }
  for (const auto& attempt : record.batch.claims) {
    table_.Claim(attempt, record.position);
  }
}

void claim_writer::ForgetBelow(std::uint64_t first, std::uint64_t next) {
  const std::uint64_t step = (next - std::min(first, next)) / kForgetSteps;
  if (first > forgotten_ + step || (full_ && first > forgotten_)) {
    table_.Forget(first);
    forgotten_ = first;
  }
}

void claim_writer::CollectStored() {
  std::erase_if(ends_, [this](const auto& item) {
    if (!table_.HasEnded(item.second.ending)) {
      return false;
    }
    stored_.push_back(item.first);
    return true;
  });
}

void claim_writer::Settle() {
  settle_ = settle::kNone;
  full_read_begun_ = false;
}

// A batch that the log refuses again and again may be too large for it. The
// endings matter more than their bodies: without a body later requests get
// "outcome unknown", without the ending nobody gets anything.
void claim_writer::DropBodies() {
  for (auto& [request, pending] : ends_) {
    pending.ending.outcome = nullptr;
  }
}

std::vector<settled_claim> claim_writer::TakeAnswers(time_point now) {
  std::vector<settled_claim> answers;
  std::erase_if(claims_, [&](const auto& item) {
    auto answer = AnswerFor(item.second, now);
    if (!answer) {
      return false;
    }
    answers.push_back(
        {item.second.attempt.key, item.first, std::move(*answer)});
    return true;
  });
  return answers;
}

std::optional<claim_answer> claim_writer::AnswerFor(
    const pending_claim& pending, time_point now) const {
  const bool is_late = now >= pending.answer_by;
  if (!table_.IsFree(pending.attempt.key)) {
    claim_answer answer = table_.Find(pending.attempt);
    if (answer.result == claim_result::kHeld && !is_late) {
      return std::nullopt;
    }
    answer.may_be_claimed = pending.ever_sent;
    return answer;
  }
  claim_ending release;
  release.request = pending.attempt.request;
  release.released = true;
  const bool is_crowded = IsCrowded();
  if (!is_late && !is_crowded && !table_.HasEnded(release)) {
    return std::nullopt;
  }
  claim_answer refusal =
      RefusedClaim(error_kind::kClaimUnavailable,
                   is_crowded ? "the table of keys is full"
                              : "the log did not confirm the claim");
  refusal.may_be_claimed = pending.ever_sent;
  return refusal;
}

std::vector<std::string> claim_writer::TakeStored() {
  return std::exchange(stored_, {});
}

bool claim_writer::IsIdle() const {
  return claims_.empty() && ends_.empty() && carried_.empty() && !appending_ &&
         settle_ == settle::kNone;
}

}  // namespace slatestall
