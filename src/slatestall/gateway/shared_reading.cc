#include "slatestall/gateway/shared_reading.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace slatestall {
namespace {

/// A reader answers at once, where the store would have held the read open
/// until something came. Asked as often, a change is in force within a second.
constexpr milliseconds kAskInterval{500};
/// A host that the store has not answered leaves the next tries to the readers
/// for a while, up to the longest. That is well under the time in which the end
/// of work at an endpoint is to be known.
constexpr milliseconds kFirstPause{250};
constexpr milliseconds kLongestPause{1600};
constexpr unsigned kMaxDoublings = 3;

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
  now_function now;
  store_pause pause{};
};
using shared_topic_ptr = std::shared_ptr<shared_topic>;

/// One read on from an offset.
struct next_read {
  shared_topic_ptr topic;
  std::uint64_t from;
  milliseconds wait;
  read_done done;
};
using next_read_ptr = std::shared_ptr<next_read>;

keyed_read ReadOf(tail_read told) {
  keyed_read read;
  read.outcome = store_outcome::kDone;
  read.age = told.age;
  read.next = told.next;
  read.era = told.era;
  read.records = std::move(told.records);
  return read;
}

/// Takes what another host has told for a read of the topic.
keyed_read TakeSecondHand(const shared_topic_ptr& topic,
                          const topic_question& question,
                          const tail_read& told) {
  topic->asks.on_taken(question, told);
  keyed_read read = ReadOf(told);
  read.second_hand = true;
  if (question.from) {
    topic->tail->Note(*question.from, read, told.age);
  } else {
    topic->tail->NoteAll(read, told.age);
  }
  return read;
}

/// What others know, where it is more; else how the store has failed.
keyed_read MoreOf(const shared_topic_ptr& topic, const topic_question& question,
                  const std::optional<tail_read>& told,
                  const keyed_read& failed) {
  const auto known = question.from.value_or(topic->tail->Next());
  const bool more = told && told->IsNewerThan(question.era, known);
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

void ReadAll(const shared_topic_ptr& topic, const read_done& done) {
  topic->direct.read_newest([topic, done](const keyed_read& got) {
    if (got.outcome == store_outcome::kDone) {
      topic->tail->NoteAll(got);
      done(got);
      return;
    }
    AskOthers(topic, {topic->name, std::nullopt, topic->tail->Era()}, got,
              done);
  });
}

void ReadDirectly(const next_read_ptr& read) {
  const auto& topic = read->topic;
  topic->direct.read_from(read->from, read->wait, [read](keyed_read got) {
    const auto& topic = read->topic;
    topic->pause.Note(got, topic->now());
    if (got.outcome == store_outcome::kDone) {
      topic->tail->Note(read->from, got);
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
  const milliseconds age = told.age;
  const keyed_read got = ReadOf(std::move(told));
  read->topic->tail->Note(read->from, got, age);
  const bool is_news =
      !got.records.empty() || got.era != read->topic->tail->Era();
  if (is_news || read->wait == milliseconds(0)) {
    read->done(got);
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(read->topic->context);
  timer->expires_after(kAskInterval);
  timer->async_wait([timer, read, got](const asio::error_code& error) {
    if (!error) {
      read->done(got);
    }
  });
}

bool IsFresh(const next_read_ptr& read, const std::optional<tail_read>& told) {
  return told && told->age <= read->topic->max_age;
}

/// The reader has lost the store, or is lost itself. Others may already read in
/// its place. Where the store has just failed this host, too, it is left alone:
/// in an outage all hosts would ask it several times a second.
void AskForAReader(const next_read_ptr& read) {
  const auto& topic = read->topic;
  const topic_question question{topic->name, read->from, topic->tail->Era()};
  topic->asks.any(question, [read, question](std::optional<tail_read> told) {
    asio::post(read->topic->context, [read, question, told = std::move(told)] {
      const auto& topic = read->topic;
      if (IsFresh(read, told)) {
        Deliver(read, *told);
      } else if (topic->now() < topic->pause.until) {
        read->done(MoreOf(topic, question, told, topic->pause.last));
      } else {
        ReadDirectly(read);
      }
    });
  });
}

void ReadNext(const next_read_ptr& read) {
  const auto& topic = read->topic;
  topic->asks.reader({topic->name, read->from, topic->tail->Era()},
                     [read](reader_answer answer) {
                       asio::post(read->topic->context,
                                  [read, answer = std::move(answer)] {
                                    if (IsFresh(read, answer.told)) {
                                      Deliver(read, *answer.told);
                                    } else if (answer.reads_itself) {
                                      ReadDirectly(read);
                                    } else {
                                      AskForAReader(read);
                                    }
                                  });
                     });
}

}  // namespace

shared_reading::shared_reading(asio::io_context& context, topic_asks asks,
                               now_function now)
    : context_(context), asks_(std::move(asks)), now_(std::move(now)) {}

keyed_topic shared_reading::Share(const std::string& name,
                                  const keyed_topic& direct,
                                  milliseconds max_age) {
  const auto tail = std::make_shared<topic_tail>(now_);
  tails_[name] = tail;
  const auto topic = std::make_shared<shared_topic>(
      shared_topic{context_, asks_, name, direct, tail, max_age, now_});
  keyed_topic shared = direct;
  shared.read_newest = [topic](const read_done& done) { ReadAll(topic, done); };
  shared.read_from = [topic](std::uint64_t from, milliseconds wait,
                             const read_done& done) {
    ReadNext(std::make_shared<next_read>(next_read{topic, from, wait, done}));
  };
  shared.read_now = [topic](std::uint64_t from, const read_done& done) {
    topic->direct.read_from(from, milliseconds(0),
                            [topic, from, done](const keyed_read& got) {
                              if (got.outcome == store_outcome::kDone) {
                                topic->tail->Note(from, got);
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
                       : found->second->ReadAll();
}

}  // namespace slatestall
