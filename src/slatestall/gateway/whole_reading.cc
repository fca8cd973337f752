#include "slatestall/gateway/whole_reading.h"

#include <iterator>
#include <utility>

namespace slatestall {
namespace {

/// Between questions to the seeds of a host without a list of hosts: the same
/// few may be the seeds of the whole fleet.
constexpr milliseconds kSeedPause{500};
/// A host without a topic's whole holds the question for it; the asker may by
/// then follow another.
constexpr milliseconds kWholeWait{1000};

/// One read of the newest of every key, page by page.
struct whole_read {
  shared_topic_ptr topic;
  read_done done;
  keyed_read read{};
  time_point read_at{};  ///< When the store was read for the first page.
  std::string last_key{};
  time_point began{};
  time_point asked_others{};
  bool from_others = false;  ///< Of those that may know, not the followed host.
  std::size_t hosts = 0;     ///< Of the fleet, while others are asked.
};
using whole_read_ptr = std::shared_ptr<whole_read>;

void AskForPage(const whole_read_ptr& whole);

/// @returns whether the whole is complete.
bool TakePage(const whole_read_ptr& whole, tail_read told) {
  auto& read = whole->read;
  const bool is_first = whole->last_key.empty();
  const bool has_more = told.has_more;
  if (!is_first && (told.era != read.era || told.next < read.next)) {
    // The store came back from an older copy, or another host answers, which
    // has not yet seen changes that are not read again.
    read = {};
    whole->last_key.clear();
    return false;
  }
  if (is_first) {
    // What changes between the pages is read once more from here on.
    read = ReadOf(std::move(told));
    read.was_held = true;
    whole->read_at = whole->topic->now() - read.age;
  } else {
    std::move(told.records.begin(), told.records.end(),
              std::back_inserter(read.records));
  }
  if (!has_more || read.records.empty()) {
    return true;
  }
  whole->last_key = read.records.back().key;
  return false;
}

/// The store may be away, and other hosts still know what was read of it.
void AskSeeds(const whole_read_ptr& whole) {
  const auto& topic = whole->topic;
  whole->asked_others = topic->now();
  keyed_read failed;
  failed.detail = "the list of hosts is not known yet";
  AskOthers(topic, {topic->name, std::nullopt, topic->tail->Era()}, failed,
            [whole](const keyed_read& got) {
              if (got.outcome == store_outcome::kDone) {
                whole->done(got);
              } else {
                AskForPage(whole);
              }
            });
}

/// Whether the first page of a whole is one to go on with: recent, or more than
/// this host knows, and never less.
bool IsProgress(const shared_topic& topic, const reader_answer& answer) {
  const auto known = topic.tail->Status();
  const auto& told = *answer.told;
  const bool is_behind =
      told.era != known.era ? told.era < known.era : told.next < known.next;
  if (known.is_known && is_behind) {
    return false;
  }
  return !known.is_known || told.IsNewerThan(known.era, known.next) ||
         IsFresh(topic, answer);
}

/// After an answer that does not help: a relay is given the time of one more
/// step, then others are asked, then the store in this host's turn.
void AskElsewhere(const whole_read_ptr& whole, const reader_answer& answer) {
  const auto& topic = whole->topic;
  const auto again = [whole] { AskForPage(whole); };
  const bool is_early = answer.follows_relay && !whole->from_others &&
                        topic->now() - whole->began < topic->hold;
  if (answer.told) {
    topic->NoteStale({topic->name, std::nullopt}, *answer.told,
                     AgeLimit(*topic, answer));
  }
  if (answer.told && !whole->from_others && !is_early) {
    whole->from_others = true;
    whole->hosts = answer.hosts;
    again();
    return;
  }
  whole->from_others = false;
  if (!answer.is_busy && !is_early &&
      topic->turns->Take(answer.hosts, topic->now())) {
    ReadWholeDirectly(topic, whole->done);
  } else {
    topic->thread.after(kBusyPause, again);
  }
}

void OnPage(const whole_read_ptr& whole, reader_answer answer) {
  const auto& topic = whole->topic;
  const auto again = [whole] { AskForPage(whole); };
  if (answer.source == reading_source::kStore) {
    ReadWholeDirectly(topic, whole->done);
    return;
  }
  if (answer.source == reading_source::kUndecided) {
    if (topic->now() - whole->asked_others < kSeedPause) {
      topic->thread.after(kUndecidedPause, again);
    } else {
      AskSeeds(whole);
    }
    return;
  }
  const bool is_first = whole->last_key.empty();
  if (!answer.told || (is_first && !IsProgress(*topic, answer))) {
    AskElsewhere(whole, answer);
    return;
  }
  const bool is_second_hand =
      is_first ? !IsFresh(*topic, answer) : whole->read.second_hand;
  const bool is_complete = TakePage(whole, std::move(*answer.told));
  whole->read.second_hand = is_second_hand;
  if (!is_complete) {
    again();
    return;
  }
  topic->KeepAll(whole->read, WholeMilliseconds(topic->now() - whole->read_at));
  whole->done(whole->read);
}

void AskForPage(const whole_read_ptr& whole) {
  const auto& topic = whole->topic;
  topic_question question{topic->name, std::nullopt, topic->tail->Era(),
                          whole->last_key, kWholeWait};
  const auto on_answer = [whole](reader_answer answer) {
    whole->topic->thread.post([whole, answer = std::move(answer)]() mutable {
      OnPage(whole, std::move(answer));
    });
  };
  if (!whole->from_others) {
    topic->asks.reader(question, on_answer);
    return;
  }
  question.wait = milliseconds(0);
  topic->asks.any(question, [hosts = whole->hosts,
                             on_answer](std::optional<tail_read> told) {
    on_answer({.source = reading_source::kHost,
               .told = std::move(told),
               .hosts = hosts});
  });
}

/// Takes a whole that is newer than what is known from others, page by page. A
/// page that does not follow the one before ends the read; its retry starts
/// over.
void TakeWholeOfOthers(const whole_read_ptr& whole, const keyed_read& failed) {
  const auto& topic = whole->topic;
  const topic_question question{topic->name, std::nullopt, topic->tail->Era(),
                                whole->last_key};
  const auto take = [whole, question, failed](std::optional<tail_read> told) {
    const auto& topic = whole->topic;
    if (!told || !told->IsNewerThan(topic->tail->Era(), topic->tail->Next())) {
      whole->done(failed);
      return;
    }
    topic->asks.on_taken(question, *told);
    const bool is_complete = TakePage(whole, std::move(*told));
    whole->read.second_hand = true;
    if (is_complete) {
      topic->KeepAll(whole->read,
                     WholeMilliseconds(topic->now() - whole->read_at));
      whole->done(whole->read);
    } else if (whole->last_key.empty()) {
      whole->done(failed);
    } else {
      TakeWholeOfOthers(whole, failed);
    }
  };
  topic->asks.any(question, [whole, take](std::optional<tail_read> told) {
    whole->topic->thread.post([take, told = std::move(told)] { take(told); });
  });
}

}  // namespace

void ReadWhole(const shared_topic_ptr& topic, const read_done& done) {
  const auto whole = std::make_shared<whole_read>(whole_read{topic, done});
  whole->began = topic->now();
  whole->asked_others = topic->now() - kSeedPause + kBusyPause;
  AskForPage(whole);
}

void ReadWholeDirectly(const shared_topic_ptr& topic, const read_done& done) {
  topic->direct.read_newest(
      [topic, done, began = topic->now()](const keyed_read& got) {
        topic->NoteStore(got);
        if (got.outcome == store_outcome::kDone) {
          // Its pages may have taken long, and tell of the time of the first.
          topic->KeepAll(got, WholeMilliseconds(topic->now() - began));
          done(got);
          return;
        }
        TakeWholeOfOthers(std::make_shared<whole_read>(whole_read{topic, done}),
                          got);
      });
}

}  // namespace slatestall
