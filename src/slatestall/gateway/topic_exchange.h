#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/gateway/offered_values.h"
#include "slatestall/gateway/topic_tail.h"
#include "slatestall/gateway/value_collector.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief What this host has read of a topic, for others.
/// @ingroup gateway
using topic_source =
    std::function<std::optional<tail_read>(const topic_question&)>;

/// @brief What comes of a question to one host.
struct topic_answer {
  std::optional<tail_read> told;  ///< Nothing: no answer, or it cannot tell.
  bool is_busy = false;           ///< It is to be asked again a little later.
};

/// @brief Hosts ask each other for what they have read of the store.
///
/// A question that nothing new answers is held: changes pass on at once, and
/// a follower of a quiet topic sends a message a second. Replies that are not
/// yet sent are bounded for all hosts together; questions wait for room, since
/// a whole fleet that starts asks a few hosts for everything.
///
/// A large value is named by its pieces, of which a host reads those that it
/// lacks, a few at a time: other messages between the two hosts, by which they
/// show that they live, do not wait until all of it has passed.
class topic_exchange {
 public:
  using answer_hook = std::function<void(topic_answer)>;
  using done_hook = std::function<void(std::optional<tail_read>)>;

  /// @param peers Outlives this; both belong to the thread of `context`.
  /// @param max_unsent Bytes of replies to all hosts.
  topic_exchange(asio::io_context& context, peer_node& peers,
                 topic_source source, std::size_t max_unsent);

  /// @brief Asks one host.
  void Ask(const std::string& host, const topic_question& question,
           answer_hook done);
  /// @brief Asks several at once; `done` gets the most recent answer.
  void AskAll(const std::vector<std::string>& hosts,
              const topic_question& question, done_hook done);
  /// @brief More is known of a topic: answers the questions held for it.
  void Release(const std::string& topic);
  std::size_t Held() const { return held_.size(); }

 private:
  /// An answer some of whose large values are yet to be completed.
  struct outlined_answer {
    std::string host;
    topic_answer answer;
    std::map<std::size_t, value_outline> outlines;  ///< By index of the record.
    time_point arrived{};
  };
  using outlined_hook = std::function<void(outlined_answer)>;
  struct collected_answers;

  struct held_question {
    topic_question question;
    time_point until{};
    std::function<void(wire::messageUnion)> reply;
  };

  void Serve();
  void ServePieces();
  wire::read_topic_replyT ToWire(const topic_question& question,
                                 const std::optional<tail_read>& read);
  void AskForOutline(const std::string& host, const topic_question& question,
                     outlined_hook done);
  void Complete(const std::string& topic, outlined_answer outlined,
                answer_hook done);
  void AskForPieces(const std::string& host,
                    const std::vector<std::uint64_t>& digests,
                    value_collector::pieces_hook done);
  large_value_ptr OwnValue(const std::string& topic,
                           const std::string& key) const;
  bool TryAnswer(const held_question& held, bool is_last);
  void ScheduleReview();
  void Review(const std::function<bool(const held_question&)>& concerns);

  peer_node& peers_;
  topic_source source_;
  std::size_t max_unsent_;
  std::list<held_question> held_;  ///< In order of arrival.
  asio::steady_timer review_timer_;
  offered_values offered_;
  value_collector collector_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
