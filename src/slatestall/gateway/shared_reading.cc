#include "slatestall/gateway/shared_reading.h"

#include <utility>

#include "slatestall/gateway/shared_topic.h"
#include "slatestall/gateway/whole_reading.h"

namespace slatestall {
namespace {

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
  auto got = ReadOf(std::move(told));
  const bool is_news = got.outcome != store_outcome::kDone ||
                       !got.records.empty() || got.era != topic->tail->Era();
  if (got.outcome == store_outcome::kDone) {
    topic->Keep(read->from, got, got.age);
  }
  got.was_held = true;
  // A host that does not hold questions must not be asked without a pause.
  const auto held = topic->now() - read->asked;
  if (is_news || held >= topic->hold / 2) {
    read->done(std::move(got));
  } else {
    topic->thread.after(topic->hold, [read, got] { read->done(got); });
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
  topic->asks.any(question, [read, question,
                             first](std::optional<tail_read> told) {
    read->topic->thread.post([read, question, first, told = std::move(told)] {
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
    topic->thread.after(kUndecidedPause, again);
  } else if (answer.is_busy && is_patient) {
    topic->thread.after(kBusyPause, again);
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
        read->topic->thread.post(
            [read, answer = std::move(answer)] { OnAnswer(read, answer); });
      });
}

}  // namespace

shared_reading::shared_reading(asio::io_context& context, topic_asks asks,
                               now_function now, std::uint64_t seed)
    : shared_reading(TaskThreadOf(context), std::move(asks), std::move(now),
                     seed) {}

shared_reading::shared_reading(task_thread thread, topic_asks asks,
                               now_function now, std::uint64_t seed)
    : thread_(std::move(thread)),
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
      thread_, asks_, name, direct, tail, max_age, hold, now_, turns_});
  keyed_topic shared = direct;
  shared.read_newest = [topic, whole_from](const read_done& done) {
    if (whole_from == whole_source::kStore) {
      ReadWholeDirectly(topic, done);
      return;
    }
    ReadWhole(topic, done);
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
