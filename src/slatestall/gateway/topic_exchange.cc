#include "slatestall/gateway/topic_exchange.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

/// On top of the time for which an answer may be held.
constexpr milliseconds kAnswerTimeout{300};
/// A page of a large topic fills a weak host's link for a tenth of a second,
/// and others' pages may be ahead of it.
constexpr milliseconds kHeldAnswerTimeout{1500};
/// A wrong question is not held for ever.
constexpr milliseconds kLongestWait{10'000};
/// Between two looks at the questions that wait for room.
constexpr milliseconds kReviewInterval{20};

wire::read_topic_replyT ToWire(const std::optional<tail_read>& read) {
  wire::read_topic_replyT told;
  told.known = read.has_value();
  if (!read) {
    return told;
  }
  told.next = read->next;
  told.era = read->era;
  told.age_ms = static_cast<std::uint32_t>(read->age.count());
  told.has_more = read->has_more;
  told.too_old = read->is_too_old;
  told.steps = read->steps;
  for (const auto& record : read->records) {
    auto entry = std::make_unique<wire::topic_recordT>();
    entry->key = record.key;
    entry->value = record.value.value_or("");
    entry->deleted = !record.value.has_value();
    entry->offset = record.offset;
    told.records.push_back(std::move(entry));
  }
  return told;
}

topic_answer FromWire(const std::string& host, const peer_reply& reply) {
  const auto* told = reply.end == peer_call_end::kReplied
                         ? reply.body.Asread_topic_reply()
                         : nullptr;
  if (told == nullptr || !told->known) {
    return {std::nullopt, told != nullptr && told->busy};
  }
  tail_read read;
  read.has_more = told->has_more;
  read.is_too_old = told->too_old;
  read.next = told->next;
  read.era = told->era;
  read.age = milliseconds(told->age_ms);
  read.host = host;
  read.steps = told->steps;
  for (const auto& record : told->records) {
    read.records.push_back(
        {record->key,
         record->deleted ? std::nullopt : std::optional(record->value),
         record->offset});
  }
  return {std::move(read), false};
}

topic_question FromWire(const wire::read_topicT& asked) {
  topic_question question;
  question.topic = asked.topic;
  question.era = asked.era;
  if (asked.whole) {
    question.after = asked.after;
  } else {
    question.from = asked.from;
  }
  question.wait = std::min(milliseconds(asked.wait_ms), kLongestWait);
  return question;
}

/// Whether there is more to tell than that nothing has come.
bool IsWorthTelling(const topic_question& question,
                    const std::optional<tail_read>& read) {
  return read && (!question.from || !read->records.empty() ||
                  read->era != question.era || read->is_too_old);
}

bool IsNewer(const tail_read& a, const tail_read& b) {
  const bool same_place = a.era == b.era && a.next == b.next;
  return same_place ? a.age < b.age : a.IsNewerThan(b.era, b.next);
}

/// Answers of several hosts, of which the most recent counts.
struct collected_answers {
  std::size_t awaited = 0;
  std::optional<tail_read> best;
  topic_exchange::done_hook done;

  void Take(std::optional<tail_read> told) {
    if (told && (!best || IsNewer(*told, *best))) {
      best = std::move(told);
    }
    if (--awaited == 0) {
      done(std::move(best));
    }
  }
};

}  // namespace

topic_exchange::topic_exchange(asio::io_context& context, peer_node& peers,
                               topic_source source, std::size_t max_unsent)
    : peers_(peers),
      source_(std::move(source)),
      max_unsent_(max_unsent),
      review_timer_(context) {
  Serve();
}

void topic_exchange::Serve() {
  peers_.Handle(wire::message::read_topic,
                [this](const wire::messageUnion& request, const std::string&,
                       const std::function<void(wire::messageUnion)>& reply) {
                  auto question = FromWire(*request.Asread_topic());
                  const time_point until =
                      std::chrono::steady_clock::now() + question.wait;
                  const bool is_last = question.wait == milliseconds(0);
                  held_question held{std::move(question), until, reply};
                  if (!TryAnswer(held, is_last)) {
                    held_.push_back(std::move(held));
                    ScheduleReview();
                  }
                });
}

/// @param is_last Whether an answer without news is due.
bool topic_exchange::TryAnswer(const held_question& held, bool is_last) {
  const bool has_room = peers_.UnsentBytes() <= max_unsent_;
  if (!has_room && !is_last) {
    return false;
  }
  const auto read = source_(held.question);
  if (!is_last && !IsWorthTelling(held.question, read)) {
    return false;
  }
  if (!has_room && read && !read->records.empty()) {
    wire::read_topic_replyT refusal;
    refusal.busy = true;
    held.reply(MakeMessage(std::move(refusal)));
    return true;
  }
  held.reply(MakeMessage(ToWire(read)));
  return true;
}

/// At the first end of a wait. Those that ask for a whole may wait for room,
/// of which nothing tells.
void topic_exchange::ScheduleReview() {
  if (held_.empty()) {
    return;
  }
  time_point next = time_point::max();
  for (const auto& held : held_) {
    next = std::min(next,
                    held.question.from
                        ? held.until
                        : std::chrono::steady_clock::now() + kReviewInterval);
  }
  review_timer_.expires_at(next);
  review_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                               const asio::error_code& error) {
    if (error || alive.expired()) {
      return;
    }
    const time_point now = std::chrono::steady_clock::now();
    Review([now](const held_question& held) {
      return now >= held.until || !held.question.from;
    });
    ScheduleReview();
  });
}

void topic_exchange::Release(const std::string& topic) {
  Review([&topic](const held_question& held) {
    return held.question.topic == topic;
  });
}

void topic_exchange::Review(
    const std::function<bool(const held_question&)>& concerns) {
  const time_point now = std::chrono::steady_clock::now();
  std::erase_if(held_, [&](const held_question& held) {
    return concerns(held) && TryAnswer(held, now >= held.until);
  });
}

void topic_exchange::Ask(const std::string& host,
                         const topic_question& question, answer_hook done) {
  wire::read_topicT ask;
  ask.topic = question.topic;
  ask.from = question.from.value_or(0);
  ask.whole = !question.from.has_value();
  ask.era = question.era;
  ask.after = question.after;
  ask.wait_ms = static_cast<std::uint32_t>(question.wait.count());
  const auto timeout = question.wait > milliseconds(0)
                           ? question.wait + kHeldAnswerTimeout
                           : kAnswerTimeout;
  peers_.Call(host, MakeMessage(std::move(ask)), timeout,
              [host, done = std::move(done)](const peer_reply& reply) {
                done(FromWire(host, reply));
              });
}

void topic_exchange::AskAll(const std::vector<std::string>& hosts,
                            const topic_question& question, done_hook done) {
  if (hosts.empty()) {
    done(std::nullopt);
    return;
  }
  const auto answers = std::make_shared<collected_answers>();
  answers->awaited = hosts.size();
  answers->done = std::move(done);
  for (const auto& host : hosts) {
    Ask(host, question, [answers](topic_answer answer) {
      answers->Take(std::move(answer.told));
    });
  }
}

}  // namespace slatestall
