#include "slatestall/gateway/shared_reading.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace slatestall {
namespace {

/// A host that the store has not answered leaves the next tries to the readers
/// for a while, up to the longest. That is well under the time in which the end
/// of work at an endpoint is to be known.
constexpr milliseconds kFirstPause{250};
constexpr milliseconds kLongestPause{1600};
constexpr unsigned kMaxDoublings = 3;
/// Until better placed hosts are known to live or not.
constexpr milliseconds kUndecidedPause{20};
/// Between questions to the seeds of a host without a list of hosts: the same
/// few may be the seeds of the whole fleet.
constexpr milliseconds kSeedPause{500};
/// Until a host that is busy, or knows nothing yet, is asked again.
constexpr milliseconds kBusyPause{100};
/// A host without a topic's whole holds the question for it; the asker may by
/// then follow another.
constexpr milliseconds kWholeWait{1000};
/// How much older an answer is that passed through a relay, which learns each
/// `hold` that the store is still read.
constexpr milliseconds kRelaySlack{200};

using read_done = std::function<void(keyed_read)>;

/// The store's failures to answer this host.
struct store_pause {
  unsigned failures = 0;
  time_point until{};
  keyed_read last;  ///< How it failed.

  void Note(const keyed_read& read, time_point now) {
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
};

/// One topic, and how it is read.
struct shared_topic {
  asio::io_context& context;
  topic_asks asks;
  std::string name;
  keyed_topic direct;
  std::shared_ptr<topic_tail> tail;
  milliseconds max_age;
  milliseconds hold;
  now_function now;
  std::shared_ptr<store_turns> turns;
  store_pause pause{};
  std::optional<std::string> source{};  ///< Host that passed on the last read.
  std::string stale_source{};           ///< Host whose last answer was too old.
  bool held_in_vain = false;  ///< The last held read was not answered.

  void NoteStore(const keyed_read& read) const {
    const bool answered = read.outcome == store_outcome::kDone ||
                          read.outcome == store_outcome::kTooOld;
    if (asks.on_store) {
      asks.on_store(answered);
    }
  }

  void NoteMore() const {
    if (asks.on_more) {
      asks.on_more(name);
    }
  }

  void NoteSource(const std::string& host) {
    if (source != host) {
      source = host;
      if (asks.on_source) {
        asks.on_source(name, tail->Status());
      }
    }
  }

  void NoteStale(const topic_question& question, const tail_read& told,
                 milliseconds limit) {
    if (std::exchange(stale_source, told.host) != told.host && asks.on_stale) {
      asks.on_stale(question, told, limit);
    }
  }

  void Keep(std::uint64_t from, const keyed_read& read,
            milliseconds age = milliseconds(0)) {
    tail->Note(from, read, age);
    NoteSource(read.host);
    if (!read.records.empty()) {
      NoteMore();
    }
  }

  void KeepAll(const keyed_read& read, milliseconds age = milliseconds(0)) {
    tail->NoteAll(read, age);
    NoteSource(read.host);
    NoteMore();
  }

  void After(milliseconds delay, std::function<void()> next) const {
    const auto timer = std::make_shared<asio::steady_timer>(context);
    timer->expires_after(delay);
    timer->async_wait(
        [timer, next = std::move(next)](const asio::error_code& error) {
          if (!error) {
            next();
          }
        });
  }
};
using shared_topic_ptr = std::shared_ptr<shared_topic>;

/// One read on from an offset.
struct next_read {
  shared_topic_ptr topic;
  std::uint64_t from;
  milliseconds wait;
  read_done done;
  time_point began{};
  time_point asked{};  ///< The host that this one follows.
};
using next_read_ptr = std::shared_ptr<next_read>;

/// One read of the newest of every key, page by page.
struct whole_read {
  shared_topic_ptr topic;
  read_done done;
  keyed_read read{};
  milliseconds age{0};
  std::string last_key{};
  time_point began{};
  time_point asked_others{};
  bool from_others = false;  ///< Of those that may know, not the followed host.
  std::size_t hosts = 0;     ///< Of the fleet, while others are asked.
};
using whole_read_ptr = std::shared_ptr<whole_read>;

keyed_read ReadOf(tail_read told) {
  keyed_read read;
  read.outcome =
      told.is_too_old ? store_outcome::kTooOld : store_outcome::kDone;
  read.age = told.age;
  read.next = told.next;
  read.era = told.era;
  read.records = std::move(told.records);
  read.is_compacted = true;
  read.host = std::move(told.host);
  read.steps = told.steps + 1;
  return read;
}

/// How old what the followed host tells may be.
milliseconds AgeLimit(const shared_topic& topic, const reader_answer& answer) {
  const auto slack =
      answer.follows_relay ? topic.hold + kRelaySlack : milliseconds(0);
  return topic.max_age + slack;
}

bool IsFresh(const shared_topic& topic, const reader_answer& answer) {
  return answer.told && answer.told->age <= AgeLimit(topic, answer);
}

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
    topic->Keep(*question.from, read, told.age);
  } else {
    topic->KeepAll(read, told.age);
  }
  return read;
}

/// What others know, where it is more; else how the store has failed.
keyed_read MoreOf(const shared_topic_ptr& topic, const topic_question& question,
                  const std::optional<tail_read>& told,
                  const keyed_read& failed) {
  const auto known = question.from.value_or(topic->tail->Next());
  // A page is no whole.
  const bool is_part = told && !question.from && told->has_more;
  const bool more = told && !is_part && told->IsNewerThan(question.era, known);
  return more ? TakeSecondHand(topic, question, *told) : failed;
}

/// Asks any other host, since the store has failed to answer.
void AskOthers(const shared_topic_ptr& topic, const topic_question& question,
               const keyed_read& failed, const read_done& done) {
  topic->asks.any(
      question, [topic, question, failed, done](std::optional<tail_read> told) {
        asio::post(topic->context,
                   [topic, question, failed, done, told = std::move(told)] {
                     done(MoreOf(topic, question, told, failed));
                   });
      });
}

void ReadWholeDirectly(const shared_topic_ptr& topic, const read_done& done) {
  topic->direct.read_newest([topic, done](const keyed_read& got) {
    topic->NoteStore(got);
    if (got.outcome == store_outcome::kDone) {
      topic->KeepAll(got);
      done(got);
      return;
    }
    AskOthers(topic, {topic->name, std::nullopt, topic->tail->Era()}, got,
              done);
  });
}

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
    whole->age = read.age;
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
    topic->After(kBusyPause, again);
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
      topic->After(kUndecidedPause, again);
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
  topic->KeepAll(whole->read, whole->age);
  whole->done(whole->read);
}

void AskForPage(const whole_read_ptr& whole) {
  const auto& topic = whole->topic;
  topic_question question{topic->name, std::nullopt, topic->tail->Era(),
                          whole->last_key, kWholeWait};
  const auto on_answer = [whole](reader_answer answer) {
    asio::post(whole->topic->context,
               [whole, answer = std::move(answer)]() mutable {
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

/// A held read that ends without an answer does not tell a store that is lost
/// from one that holds it on: the next read, which is to be answered at once,
/// does.
void ReadDirectly(const next_read_ptr& read, milliseconds wait) {
  const auto& topic = read->topic;
  if (std::exchange(topic->held_in_vain, false)) {
    wait = milliseconds(0);
  }
  topic->direct.read_from(read->from, wait, [read, wait](keyed_read got) {
    const auto& topic = read->topic;
    topic->held_in_vain =
        wait > milliseconds(0) && got.outcome == store_outcome::kNoAnswer;
    if (!topic->held_in_vain) {
      topic->pause.Note(got, topic->now());
      topic->NoteStore(got);
    }
    if (got.outcome == store_outcome::kDone) {
      topic->Keep(read->from, got);
    }
    if (got.outcome == store_outcome::kDone ||
        got.outcome == store_outcome::kTooOld) {
      read->done(std::move(got));
      return;
    }
    AskOthers(topic, {topic->name, read->from, topic->tail->Era()}, got,
              read->done);
  });
}

void Deliver(const next_read_ptr& read, tail_read told) {
  const auto& topic = read->topic;
  const milliseconds age = told.age;
  auto got = ReadOf(std::move(told));
  const bool is_news = got.outcome != store_outcome::kDone ||
                       !got.records.empty() || got.era != topic->tail->Era();
  if (got.outcome == store_outcome::kDone) {
    topic->Keep(read->from, got, age);
  }
  got.was_held = true;
  // A host that does not hold questions must not be asked without a pause.
  const auto held = topic->now() - read->asked;
  if (is_news || held >= topic->hold / 2) {
    read->done(std::move(got));
  } else {
    topic->After(topic->hold, [read, got] { read->done(got); });
  }
}

/// @returns whether this host may read the store for itself now.
bool MayReadItself(const shared_topic_ptr& topic, std::size_t hosts) {
  const time_point now = topic->now();
  return now >= topic->pause.until &&
         (hosts == 0 || topic->turns->Take(hosts, now));
}

/// The reader has lost the store, or is lost itself. Others may already read in
/// its place. Where the store has just failed this host, too, it is left alone:
/// in an outage all hosts would ask it several times a second.
void AskForAReader(const next_read_ptr& read, const reader_answer& first) {
  const auto& topic = read->topic;
  const topic_question question{topic->name, read->from, topic->tail->Era()};
  topic->asks.any(
      question, [read, question, first](std::optional<tail_read> told) {
        asio::post(read->topic->context,
                   [read, question, first, told = std::move(told)] {
                     const auto& topic = read->topic;
                     reader_answer answer = first;
                     answer.told = told;
                     if (IsFresh(*topic, answer)) {
                       Deliver(read, *told);
                     } else if (MayReadItself(topic, first.hosts)) {
                       ReadDirectly(read, milliseconds(0));
                     } else {
                       auto failed = topic->pause.last;
                       if (failed.detail.empty()) {
                         failed.detail = "no host has read the store just now";
                       }
                       read->done(MoreOf(topic, question, told, failed));
                     }
                   });
      });
}

void ReadNext(const next_read_ptr& read);

void OnAnswer(const next_read_ptr& read, const reader_answer& answer) {
  const auto& topic = read->topic;
  const bool is_patient = topic->now() - read->began < topic->max_age;
  const auto again = [read] { ReadNext(read); };
  if (answer.source == reading_source::kStore) {
    ReadDirectly(read, read->wait);
  } else if (answer.source == reading_source::kUndecided && is_patient) {
    topic->After(kUndecidedPause, again);
  } else if (answer.is_busy && is_patient) {
    topic->After(kBusyPause, again);
  } else if (IsFresh(*topic, answer)) {
    topic->stale_source.clear();
    Deliver(read, *answer.told);
  } else {
    if (answer.told) {
      topic->NoteStale({topic->name, read->from}, *answer.told,
                       AgeLimit(*topic, answer));
    }
    AskForAReader(read, answer);
  }
}

void ReadNext(const next_read_ptr& read) {
  const auto& topic = read->topic;
  read->asked = topic->now();
  topic->asks.reader(
      {topic->name, read->from, topic->tail->Era(), {}, topic->hold},
      [read](reader_answer answer) {
        asio::post(read->topic->context, [read, answer = std::move(answer)] {
          OnAnswer(read, answer);
        });
      });
}

}  // namespace

shared_reading::shared_reading(asio::io_context& context, topic_asks asks,
                               now_function now, std::uint64_t seed)
    : context_(context),
      asks_(std::move(asks)),
      now_(std::move(now)),
      turns_(std::make_shared<store_turns>(seed)) {}

keyed_topic shared_reading::Share(const std::string& name,
                                  const keyed_topic& direct,
                                  milliseconds max_age, milliseconds hold,
                                  whole_source whole_from) {
  const auto tail = std::make_shared<topic_tail>(now_);
  tails_[name] = tail;
  const auto topic = std::make_shared<shared_topic>(shared_topic{
      context_, asks_, name, direct, tail, max_age, hold, now_, turns_});
  keyed_topic shared = direct;
  shared.read_newest = [topic, whole_from](const read_done& done) {
    if (whole_from == whole_source::kStore) {
      ReadWholeDirectly(topic, done);
      return;
    }
    const auto whole = std::make_shared<whole_read>(whole_read{topic, done});
    whole->began = topic->now();
    whole->asked_others = topic->now() - kSeedPause + kBusyPause;
    AskForPage(whole);
  };
  shared.read_from = [topic](std::uint64_t from, milliseconds wait,
                             const read_done& done) {
    ReadNext(std::make_shared<next_read>(
        next_read{topic, from, wait, done, topic->now()}));
  };
  shared.read_now = [topic](std::uint64_t from, const read_done& done) {
    topic->direct.read_from(from, milliseconds(0),
                            [topic, from, done](const keyed_read& got) {
                              if (got.outcome == store_outcome::kDone) {
                                topic->Keep(from, got);
                              }
                              done(got);
                            });
  };
  return shared;
}

std::optional<tail_read> shared_reading::Answer(
    const topic_question& question) const {
  const auto found = tails_.find(question.topic);
  if (found == tails_.end()) {
    return std::nullopt;
  }
  return question.from ? found->second->ReadFrom(*question.from, question.era)
                       : found->second->ReadAll(question.after);
}

std::map<std::string, topic_status> shared_reading::Status() const {
  std::map<std::string, topic_status> all;
  for (const auto& [name, tail] : tails_) {
    all[name] = tail->Status();
  }
  return all;
}

}  // namespace slatestall
