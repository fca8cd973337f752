#include "slatestall/gateway/shared_topic.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

/// A host that the store has not answered leaves the next tries to the readers
/// for a while, up to the longest. That is well under the time in which the end
/// of work at an endpoint is to be known.
constexpr milliseconds kFirstPause{250};
constexpr milliseconds kLongestPause{1600};
constexpr unsigned kMaxDoublings = 3;
/// How much older an answer is that passed through a relay, which learns each
/// `hold` that the store is still read.
constexpr milliseconds kRelaySlack{200};

/// Takes what another host has told for a read of the topic.
keyed_read TakeSecondHand(const shared_topic_ptr& topic,
                          const topic_question& question,
                          const tail_read& told) {
  topic->asks.on_taken(question, told);
  keyed_read read = ReadOf(told);
  read.second_hand = true;
  if (read.outcome != store_outcome::kDone) {
    return read;  // Nothing of what lies between is known.
  }
  if (question.from) {
    topic->Keep(*question.from, read, read.age);
  } else {
    topic->KeepAll(read, read.age);
  }
  return read;
}

}  // namespace

void store_pause::Note(const keyed_read& read, time_point now) {
  const bool failed = read.outcome != store_outcome::kDone &&
                      read.outcome != store_outcome::kTooOld;
  if (!failed) {
    failures = 0;
    until = {};
    return;
  }
  const auto pause = std::min(
      kFirstPause * (1U << std::min(failures, kMaxDoublings)), kLongestPause);
  ++failures;
  until = now + pause;
  last = read;
}

void shared_topic::NoteStore(const keyed_read& read) const {
  const bool answered = read.outcome == store_outcome::kDone ||
                        read.outcome == store_outcome::kTooOld;
  if (asks.on_store) {
    asks.on_store(answered);
  }
}

void shared_topic::NoteMore() const {
  if (asks.on_more) {
    asks.on_more(name);
  }
}

void shared_topic::NoteSource(const std::string& host) {
  if (source != host) {
    source = host;
    if (asks.on_source) {
      asks.on_source(name, tail->Status());
    }
  }
}

void shared_topic::NoteStale(const topic_question& question,
                             const tail_read& told, milliseconds limit) {
  if (std::exchange(stale_source, told.host) != told.host && asks.on_stale) {
    asks.on_stale(question, told, limit);
  }
}

void shared_topic::Keep(std::uint64_t from, const keyed_read& read,
                        milliseconds age) {
  tail->Note(from, read, age);
  NoteSource(read.host);
  if (!read.records.empty()) {
    NoteMore();
  }
}

void shared_topic::KeepAll(const keyed_read& read, milliseconds age) {
  tail->NoteAll(read, age);
  NoteSource(read.host);
  NoteMore();
}

keyed_read ReadOf(tail_read told) {
  keyed_read read;
  read.outcome =
      told.is_too_old ? store_outcome::kTooOld : store_outcome::kDone;
  read.age = told.age + told.transfer;
  read.next = told.next;
  read.era = told.era;
  read.records = std::move(told.records);
  read.is_compacted = true;
  read.host = std::move(told.host);
  read.steps = told.steps + 1;
  return read;
}

milliseconds AgeLimit(const shared_topic& topic, const reader_answer& answer) {
  const auto slack =
      answer.follows_relay ? topic.hold + kRelaySlack : milliseconds(0);
  return topic.max_age + slack;
}

bool IsFresh(const shared_topic& topic, const reader_answer& answer) {
  return answer.told && answer.told->age <= AgeLimit(topic, answer);
}

keyed_read MoreOf(const shared_topic_ptr& topic, const topic_question& question,
                  const std::optional<tail_read>& told,
                  const keyed_read& failed) {
  const auto known = question.from.value_or(topic->tail->Next());
  // A page is no whole.
  const bool is_part = told && !question.from && told->has_more;
  const bool more = told && !is_part && told->IsNewerThan(question.era, known);
  return more ? TakeSecondHand(topic, question, *told) : failed;
}

void AskOthers(const shared_topic_ptr& topic, const topic_question& question,
               const keyed_read& failed, const read_done& done) {
  topic->asks.any(question, [topic, question, failed,
                             done](std::optional<tail_read> told) {
    topic->thread.post([topic, question, failed, done, told = std::move(told)] {
      done(MoreOf(topic, question, told, failed));
    });
  });
}

}  // namespace slatestall
