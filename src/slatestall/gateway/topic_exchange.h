#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/gateway/topic_tail.h"
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
  struct held_question {
    topic_question question;
    time_point until{};
    std::function<void(wire::messageUnion)> reply;
  };

  void Serve();
  bool TryAnswer(const held_question& held, bool is_last);
  void ScheduleReview();
  void Review(const std::function<bool(const held_question&)>& concerns);

  peer_node& peers_;
  topic_source source_;
  std::size_t max_unsent_;
  std::list<held_question> held_;  ///< In order of arrival.
  asio::steady_timer review_timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
