#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "slatestall/dispatch/store_turns.h"
#include "slatestall/gateway/platform_link.h"
#include "slatestall/gateway/task_thread.h"
#include "slatestall/gateway/topic_asks.h"
#include "slatestall/gateway/topic_tail.h"
#include "slatestall/model/time.h"

namespace slatestall {

using read_done = std::function<void(keyed_read)>;

/// Until better placed hosts are known to live or not.
inline constexpr milliseconds kUndecidedPause{20};
/// Until a host that is busy, or knows nothing yet, is asked again.
inline constexpr milliseconds kBusyPause{100};

/// @brief How long a host leaves the store alone after failures to answer it.
struct store_pause {
  unsigned failures = 0;
  time_point until{};
  keyed_read last;  ///< How it failed.

  void Note(const keyed_read& read, time_point now);
};

/// @brief One topic, and how a host reads it.
/// @ingroup gateway
struct shared_topic {
  task_thread thread;
  topic_asks asks;
  std::string name;
  keyed_topic direct;  ///< By the store.
  std::shared_ptr<topic_tail> tail;
  milliseconds max_age;  ///< Of what the followed host replies.
  milliseconds hold;     ///< How long that one may hold a question.
  now_function now;
  std::shared_ptr<store_turns> turns;
  store_pause pause{};
  std::optional<std::string> source{};  ///< Host that passed on the last read.
  std::string stale_source{};           ///< Host whose last answer was too old.
  bool held_in_vain = false;  ///< The last held read was not answered.

  void NoteStore(const keyed_read& read) const;
  void NoteStale(const topic_question& question, const tail_read& told,
                 milliseconds limit);
  /// @brief Records from an offset on were read.
  void Keep(std::uint64_t from, const keyed_read& read,
            milliseconds age = milliseconds(0));
  /// @brief The newest of every key was read.
  void KeepAll(const keyed_read& read, milliseconds age = milliseconds(0));

 private:
  void NoteMore() const;
  void NoteSource(const std::string& host);
};
using shared_topic_ptr = std::shared_ptr<shared_topic>;

/// @brief What another host replied, as a read of the topic.
keyed_read ReadOf(tail_read told);

/// @brief How old an answer of the followed host may be.
milliseconds AgeLimit(const shared_topic& topic, const reader_answer& answer);
bool IsFresh(const shared_topic& topic, const reader_answer& answer);

/// @brief What others know, where it is more; else how the store has failed.
keyed_read MoreOf(const shared_topic_ptr& topic, const topic_question& question,
                  const std::optional<tail_read>& told,
                  const keyed_read& failed);

/// @brief Asks any other host, since the store has failed to answer.
void AskOthers(const shared_topic_ptr& topic, const topic_question& question,
               const keyed_read& failed, const read_done& done);

}  // namespace slatestall
