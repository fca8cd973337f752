#include "slatestall/node/claim_log.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "slatestall/node/claim_record_codec.h"
#include "slatestall/policy/claim_partition.h"

namespace slatestall {
namespace {

constexpr milliseconds kLongPoll{500};
constexpr milliseconds kReadAgainAfterFailure{200};
constexpr milliseconds kReadAgainAtEnd{10};
constexpr milliseconds kDropUnusedAfter{120'000};

claim_append EndOf(append_end end) {
  switch (end) {
    case append_end::kAppended:
      return claim_append::kAppended;
    case append_end::kRefused:
      return claim_append::kRefused;
    case append_end::kUnknown:
      return claim_append::kUnknown;
  }
  return claim_append::kUnknown;
}

claim_outcome_ptr OutcomeIn(const log_record& record, const claim_key& key) {
  const auto batch = DecodeClaims(record.payload);
  if (!batch) {
    return nullptr;
  }
  for (const auto& ending : batch->ends) {
    if (ending.key == key && !ending.released && ending.outcome != nullptr) {
      return ending.outcome;
    }
  }
  return nullptr;
}

// The key has run, but its stored answer cannot be read now: nobody may run
// it, and asking later helps.
claim_answer NotReadableNow() {
  return RefusedClaim(error_kind::kRequestInProgress,
                      "the request has ended; its answer cannot be read now");
}

}  // namespace

claim_log::claim_log(log_service log, std::uint32_t partitions,
                     claim_writer_options options, now_function now,
                     wall_clock_function wall_clock)
    : log_(std::move(log)),
      layout_(std::make_shared<claim_layout_log>(log_, partitions,
                                                 options.retention, now)),
      partition_count_(std::max(partitions, 1U)),
      options_(options),
      now_(std::move(now)),
      wall_clock_(std::move(wall_clock)) {}

claim_log::partition& claim_log::Use(std::uint32_t number) {
  partition_ptr& at = partitions_[number];
  if (at == nullptr) {
    at = std::make_shared<partition>(ClaimStream(number), options_);
  }
  at->last_used = now_();
  return *at;
}

bool claim_log::IsReady(const claim_key& key) {
  return layout_->Agrees() &&
         Use(PartitionOf(key, partition_count_)).writer.IsReady();
}

void claim_log::Follow(std::uint32_t number) { Use(number); }

void claim_log::Tend(std::uint32_t number) {
  if (number == 0) {
    layout_->Tend();
  }
  Use(number).writer.Carry(wall_clock_());
}

void claim_log::Claim(const claim_attempt& attempt, milliseconds wait,
                      answer_function done) {
  if (const std::string conflict = layout_->Conflict(); !conflict.empty()) {
    done(RefusedClaim(error_kind::kClaimUnavailable, conflict));
    return;
  }
  const std::uint32_t number = PartitionOf(attempt.key, partition_count_);
  partition& at = Use(number);
  if (!at.writer.Submit(attempt, now_() + wait)) {
    done(RefusedClaim(error_kind::kClaimUnavailable,
                      "too many claims are waiting"));
    return;
  }
  at.askers[attempt.request].push_back(std::move(done));
  Pump(partitions_[number]);
}

void claim_log::Find(const claim_attempt& attempt, milliseconds wait,
                     answer_function done) {
  if (const std::string conflict = layout_->Conflict(); !conflict.empty()) {
    done(RefusedClaim(error_kind::kClaimUnavailable, conflict));
    return;
  }
  const std::uint32_t number = PartitionOf(attempt.key, partition_count_);
  partition& at = Use(number);
  if (at.lookups.size() >= options_.max_pending) {
    done(RefusedClaim(error_kind::kClaimUnavailable,
                      "too many lookups are waiting"));
    return;
  }
  // A read that is under way may have been answered before this question;
  // only the next one tells.
  at.lookups.push_back(
      {attempt, now_() + wait, at.reads_begun + 1, std::move(done)});
  Pump(partitions_[number]);
}

void claim_log::End(const claim_ending& ending, std::function<void()> stored) {
  const std::uint32_t number = PartitionOf(ending.key, partition_count_);
  partition& at = Use(number);
  if (!at.writer.SubmitEnd(ending, now_())) {
    return;
  }
  if (ending.released) {
    RefuseAskers(at, ending.request);
  }
  auto& waiting = at.enders[ending.request];
  constexpr std::size_t kMaxAskers = 8;
  if (waiting.size() < kMaxAskers) {
    waiting.push_back(std::move(stored));
  }
  Pump(partitions_[number]);
}

void claim_log::RefuseAskers(partition& at, const std::string& request) {
  const auto found = at.askers.find(request);
  if (found == at.askers.end()) {
    return;
  }
  const auto askers = std::move(found->second);
  at.askers.erase(found);
  for (const auto& done : askers) {
    done(RefusedClaim(error_kind::kClaimUnavailable, "the claim was given up"));
  }
}

void claim_log::Tick() {
  layout_->Tick();
  const time_point unused_since = now_() - kDropUnusedAfter;
  std::erase_if(partitions_, [&](const auto& item) {
    const partition& at = *item.second;
    return at.last_used < unused_since && at.writer.IsIdle() &&
           at.lookups.empty();
  });
  std::vector<partition_ptr> all;
  all.reserve(partitions_.size());
  for (const auto& [number, at] : partitions_) {
    all.push_back(at);
  }
  for (const auto& at : all) {
    Pump(at);
  }
}

// With another number of partitions a key has another stream. Nothing is read
// or written there before the number is agreed: read, the wrong stream would
// say that a used key is free.
void claim_log::Pump(const partition_ptr& at) {
  Reply(at);
  if (!layout_->Agrees()) {
    return;
  }
  PumpAppend(at);
  PumpRead(at);
}

void claim_log::PumpAppend(const partition_ptr& at) {
  auto batch = at->writer.NextAppend(now_());
  if (!batch) {
    return;
  }
  batch->written_at = wall_clock_();
  ++counters_.appends;
  counters_.claims_appended += batch->claims.size();
  log_.append(at->stream, EncodeClaims(*batch),
              [weak = weak_from_this(), at](const append_result& result) {
                const auto self = weak.lock();
                if (self == nullptr) {
                  return;
                }
                if (result.end == append_end::kUnknown) {
                  ++self->counters_.appends_unknown;
                }
                at->writer.Appended(EndOf(result.end), result.offset,
                                    self->now_());
                self->Pump(at);
              });
}

void claim_log::PumpRead(const partition_ptr& at) {
  if (at->reading || now_() < at->next_read) {
    return;
  }
  const bool hurry = at->writer.NeedsRead() || !at->lookups.empty();
  at->reading = true;
  ++at->reads_begun;
  at->writer.ReadBegins();
  log_.read(at->stream, at->writer.ReadFrom(),
            hurry ? milliseconds{0} : kLongPoll,
            [weak = weak_from_this(), at](const read_result& result) {
              if (const auto self = weak.lock()) {
                self->TakeRead(at, result);
              }
            });
}

void claim_log::TakeRead(const partition_ptr& at, const read_result& result) {
  at->reading = false;
  // A log whose end lies before what was read is not the log that was read.
  const bool usable = result.ok && result.next >= at->writer.ReadFrom();
  if (!usable) {
    at->next_read = now_() + kReadAgainAfterFailure;
    Reply(at);
    return;
  }
  std::vector<claim_log_record> records;
  records.reserve(result.records.size());
  for (const auto& record : result.records) {
    auto batch = DecodeClaims(record.payload);
    if (!batch) {
      ++counters_.records_not_understood;
    }
    records.push_back(
        {record.offset, batch ? std::move(*batch) : claim_batch{}});
  }
  at->writer.Read(result.first, result.next, records, wall_clock_());
  const bool at_end = at->writer.ReadFrom() >= result.next;
  if (at_end) {
    at->full_reads = at->reads_begun;
  }
  at->next_read = now_() + (at_end ? kReadAgainAtEnd : milliseconds{0});
  Pump(at);
}

void claim_log::Reply(const partition_ptr& at) {
  for (const auto& settled : at->writer.TakeAnswers(now_())) {
    const auto found = at->askers.find(settled.request);
    if (found == at->askers.end()) {
      continue;
    }
    std::vector<answer_function> askers = std::move(found->second);
    at->askers.erase(found);
    Give(at, settled.key, settled.answer, std::move(askers));
  }
  for (const auto& request : at->writer.TakeStored()) {
    const auto found = at->enders.find(request);
    if (found == at->enders.end()) {
      continue;
    }
    const auto enders = std::move(found->second);
    at->enders.erase(found);
    for (const auto& stored : enders) {
      stored();
    }
  }
  ReplyToLookups(at);
}

void claim_log::ReplyToLookups(const partition_ptr& at) {
  std::vector<lookup> open = std::exchange(at->lookups, {});
  for (auto& asked : open) {
    const bool told = at->full_reads >= asked.full_reads;
    if (told) {
      claim_answer answer = at->writer.Find(asked.attempt);
      const bool is_free = answer.result == claim_result::kRefused &&
                           answer.refusal == error_kind::kClaimUnavailable;
      if (is_free) {
        answer.refusal = error_kind::kNotFound;
      }
      Give(at, asked.attempt.key, answer, {std::move(asked.done)});
    } else if (asked.answer_by <= now_()) {
      asked.done(RefusedClaim(error_kind::kClaimUnavailable,
                              "the log cannot be read now"));
    } else {
      at->lookups.push_back(std::move(asked));
    }
  }
}

void claim_log::Give(const partition_ptr& at, const claim_key& key,
                     const claim_answer& answer,
                     std::vector<answer_function> askers) {
  const bool needs_log = answer.result == claim_result::kEnded &&
                         answer.outcome == nullptr && answer.outcome_in_log;
  if (!needs_log) {
    for (const auto& done : askers) {
      done(answer);
    }
    return;
  }
  log_.read(
      at->stream, answer.end_position, milliseconds{0},
      [key, answer, askers = std::move(askers)](const read_result& result) {
        claim_answer told = answer;
        if (!result.ok) {
          told = NotReadableNow();
        }
        for (const auto& record : result.records) {
          if (result.ok && record.offset == answer.end_position) {
            told.outcome = OutcomeIn(record, key);
          }
        }
        for (const auto& done : askers) {
          done(told);
        }
      });
}

claim_log_counters claim_log::Counters() const {
  claim_log_counters counters = counters_;
  counters.partitions_in_log = layout_->InLog();
  for (const auto& [number, at] : partitions_) {
    counters.keys_not_carried += at->writer.NotCarried();
  }
  return counters;
}

std::size_t claim_log::IndexedKeys() const {
  std::size_t keys = 0;
  for (const auto& [number, at] : partitions_) {
    keys += at->writer.Table().Size();
  }
  return keys;
}

std::size_t claim_log::OutcomeBytes() const {
  std::size_t bytes = 0;
  for (const auto& [number, at] : partitions_) {
    bytes += at->writer.Table().OutcomeBytes();
  }
  return bytes;
}

}  // namespace slatestall
