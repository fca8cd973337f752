#pragma once

#include <functional>
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

/// @brief Hosts ask each other for what they have read of the store.
class topic_exchange {
 public:
  using done_hook = std::function<void(std::optional<tail_read>)>;

  /// @param peers Outlives this; both belong to the same thread.
  topic_exchange(peer_node& peers, topic_source source);

  /// @brief Asks one host; `done` gets nothing where it cannot tell.
  void Ask(const std::string& host, const topic_question& question,
           done_hook done);
  /// @brief Asks several at once; `done` gets the most recent answer.
  void AskAll(const std::vector<std::string>& hosts,
              const topic_question& question, done_hook done);

 private:
  void Serve(topic_source source);

  peer_node& peers_;
};

}  // namespace slatestall
