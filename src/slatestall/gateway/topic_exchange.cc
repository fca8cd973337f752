#include "slatestall/gateway/topic_exchange.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

/// On top of the time for which an answer may be held.
constexpr milliseconds kAnswerTimeout{300};
/// Pages for other hosts may be ahead of it.
constexpr milliseconds kHeldAnswerTimeout{1500};
/// Of an answer with some pieces of a large value, however large that is.
constexpr milliseconds kPiecesTimeout{1500};
/// Twice what a host asks for at a time.
constexpr std::size_t kMostPieceBytes = std::size_t{64} << 10U;
/// As much as the store answers at most.
constexpr std::size_t kMostValueBytes = std::size_t{32} << 20U;
/// A wrong question is not held for ever.
constexpr milliseconds kLongestWait{10'000};
/// Between two looks at the questions that wait for room.
constexpr milliseconds kReviewInterval{20};

std::unique_ptr<wire::topic_recordT> RecordToWire(const keyed_record& record,
                                                  bool takes_pieces) {
  auto entry = std::make_unique<wire::topic_recordT>();
  entry->key = record.key;
  entry->deleted = !record.value.has_value();
  entry->offset = record.offset;
  if (!record.large) {
    entry->value = record.value.value_or("");
  } else if (!takes_pieces) {
    entry->value = record.large->Bytes();
  } else {
    entry->digest = record.large->Outline().digest;
    for (const auto& piece : record.large->Outline().pieces) {
      entry->pieces.emplace_back(piece.digest, piece.bytes);
    }
  }
  return entry;
}

value_outline OutlineIn(const wire::topic_recordT& record) {
  value_outline outline;
  outline.digest = record.digest;
  for (const auto& piece : record.pieces) {
    outline.pieces.push_back({piece.digest(), piece.bytes()});
  }
  return outline;
}

tail_read FromWire(const std::string& host,
                   const wire::read_topic_replyT& told) {
  tail_read read;
  read.has_more = told.has_more;
  read.is_too_old = told.too_old;
  read.next = told.next;
  read.era = told.era;
  read.age = milliseconds(told.age_ms);
  read.host = host;
  read.steps = told.steps;
  for (const auto& record : told.records) {
    read.records.push_back(
        {record->key,
         record->deleted ? std::nullopt : std::optional(record->value),
         record->offset});
  }
  return read;
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
  question.takes_pieces = asked.takes_pieces;
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

}  // namespace

/// Of several hosts, of which the most recent counts.
struct topic_exchange::collected_answers {
  std::size_t awaited = 0;
  outlined_answer best;
  done_hook done;

  void Take(outlined_answer outlined) {
    --awaited;
    const auto& told = outlined.answer.told;
    if (told && (!best.answer.told || IsNewer(*told, *best.answer.told))) {
      best = std::move(outlined);
    }
  }
};

topic_exchange::topic_exchange(asio::io_context& context, peer_node& peers,
                               topic_source source, std::size_t max_unsent)
    : peers_(peers),
      source_(std::move(source)),
      max_unsent_(max_unsent),
      review_timer_(context),
      collector_([this](const std::string& host,
                        const std::vector<std::uint64_t>& digests,
                        value_collector::pieces_hook done) {
        AskForPieces(host, digests, std::move(done));
      }) {
  Serve();
  ServePieces();
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

/// Pieces beyond the bound of a reply, and all where there is no room, are left
/// out as those that are no longer known: the host that asked goes on elsewhere
/// or later.
void topic_exchange::ServePieces() {
  peers_.Handle(
      wire::message::read_pieces,
      [this](const wire::messageUnion& request, const std::string&,
             const std::function<void(wire::messageUnion)>& reply) {
        wire::read_pieces_replyT told;
        std::size_t bytes = 0;
        const bool has_room = peers_.UnsentBytes() <= max_unsent_;
        for (const auto digest : request.Asread_pieces()->digests) {
          const auto* packed = has_room ? offered_.Packed(digest) : nullptr;
          bytes += packed == nullptr ? 0 : packed->size();
          const bool fits = packed != nullptr && bytes <= kMostPieceBytes;
          told.pieces.push_back(fits ? *packed : std::string());
        }
        reply(MakeMessage(std::move(told)));
      });
}

wire::read_topic_replyT topic_exchange::ToWire(
    const topic_question& question, const std::optional<tail_read>& read) {
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
    if (record.large && question.takes_pieces) {
      offered_.Offer(question.topic, record.key, record.large);
    }
    told.records.push_back(RecordToWire(record, question.takes_pieces));
  }
  return told;
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
  held.reply(MakeMessage(ToWire(held.question, read)));
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

void topic_exchange::AskForOutline(const std::string& host,
                                   const topic_question& question,
                                   outlined_hook done) {
  wire::read_topicT ask;
  ask.topic = question.topic;
  ask.from = question.from.value_or(0);
  ask.whole = !question.from.has_value();
  ask.era = question.era;
  ask.after = question.after;
  ask.wait_ms = static_cast<std::uint32_t>(question.wait.count());
  ask.takes_pieces = true;
  const auto timeout = question.wait > milliseconds(0)
                           ? question.wait + kHeldAnswerTimeout
                           : kAnswerTimeout;
  peers_.Call(host, MakeMessage(std::move(ask)), timeout,
              [host, done = std::move(done)](const peer_reply& reply) {
                outlined_answer outlined;
                outlined.host = host;
                outlined.arrived = std::chrono::steady_clock::now();
                const auto* told = reply.end == peer_call_end::kReplied
                                       ? reply.body.Asread_topic_reply()
                                       : nullptr;
                if (told == nullptr || !told->known) {
                  outlined.answer.is_busy = told != nullptr && told->busy;
                  done(std::move(outlined));
                  return;
                }
                outlined.answer.told = FromWire(host, *told);
                for (std::size_t i = 0; i < told->records.size(); ++i) {
                  if (!told->records[i]->pieces.empty()) {
                    outlined.outlines[i] = OutlineIn(*told->records[i]);
                  }
                }
                done(std::move(outlined));
              });
}

/// Completes the first large value that is not yet, then the next.
void topic_exchange::Complete(const std::string& topic,
                              outlined_answer outlined, answer_hook done) {
  if (outlined.outlines.empty()) {
    done(std::move(outlined.answer));
    return;
  }
  auto first = outlined.outlines.extract(outlined.outlines.begin());
  if (first.mapped().Bytes() > kMostValueBytes) {
    done({});
    return;
  }
  const auto index = first.key();
  const auto host = outlined.host;
  auto known = OwnValue(topic, outlined.answer.told->records[index].key);
  collector_.Collect(host, std::move(first.mapped()), std::move(known),
                     [this, topic, index, outlined = std::move(outlined),
                      done = std::move(done)](large_value_ptr value) mutable {
                       if (value == nullptr) {
                         done({});
                         return;
                       }
                       auto& told = *outlined.answer.told;
                       told.records[index].value = value->Bytes();
                       told.records[index].large = std::move(value);
                       told.transfer = WholeMilliseconds(
                           std::chrono::steady_clock::now() - outlined.arrived);
                       Complete(topic, std::move(outlined), std::move(done));
                     });
}

large_value_ptr topic_exchange::OwnValue(const std::string& topic,
                                         const std::string& key) const {
  const auto own = source_({topic, std::nullopt});
  if (own) {
    for (const auto& record : own->records) {
      if (record.key == key) {
        return record.large;
      }
    }
  }
  return nullptr;
}

void topic_exchange::AskForPieces(const std::string& host,
                                  const std::vector<std::uint64_t>& digests,
                                  value_collector::pieces_hook done) {
  wire::read_piecesT ask;
  ask.digests = digests;
  peers_.Call(
      host, MakeMessage(std::move(ask)), kPiecesTimeout,
      [alive = std::weak_ptr<int>(alive_),
       done = std::move(done)](const peer_reply& reply) {
        if (alive.expired()) {
          return;
        }
        const auto* told = reply.end == peer_call_end::kReplied
                               ? reply.body.Asread_pieces_reply()
                               : nullptr;
        done(told == nullptr ? std::vector<std::string>() : told->pieces);
      });
}

void topic_exchange::Ask(const std::string& host,
                         const topic_question& question, answer_hook done) {
  AskForOutline(host, question,
                [this, topic = question.topic, done = std::move(done),
                 alive = std::weak_ptr<int>(alive_)](outlined_answer outlined) {
                  if (!alive.expired()) {
                    Complete(topic, std::move(outlined), done);
                  }
                });
}

/// Large values are completed for the answer that counts only.
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
    AskForOutline(
        host, question,
        [this, answers, topic = question.topic,
         alive = std::weak_ptr<int>(alive_)](outlined_answer outlined) {
          answers->Take(std::move(outlined));
          if (answers->awaited == 0 && !alive.expired()) {
            Complete(topic, std::move(answers->best),
                     [answers](topic_answer answer) {
                       answers->done(std::move(answer.told));
                     });
          }
        });
  }
}

}  // namespace slatestall
