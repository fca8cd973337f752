#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "slatestall/dispatch/reader_tree.h"
#include "slatestall/gateway/topic_tail.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What comes of asking the host that this one follows.
struct reader_answer {
  reading_source source = reading_source::kUndecided;
  std::optional<tail_read> told;  ///< Nothing: no answer, or it cannot tell.
  bool is_busy = false;           ///< It is to be asked again a little later.
  bool follows_relay = false;     ///< The answer came by one more host.
  /// Hosts of the fleet where it is too large for all to read the store; else
  /// 0.
  std::size_t hosts = 0;
};

/// @brief How a host learns from others what they have read of a topic.
/// Called on the control thread; `done` may come on any. It gets nothing where
/// none can tell.
/// @ingroup gateway
struct topic_asks {
  using done_hook = std::function<void(std::optional<tail_read>)>;

  using reader_hook = std::function<void(reader_answer)>;

  /// Asks the host that this one follows, if it follows any.
  std::function<void(const topic_question&, reader_hook done)> reader;
  /// Asks some that may know; the most recent answer counts.
  std::function<void(const topic_question&, done_hook done)> any;
  /// Something was taken from other hosts since the store did not answer.
  std::function<void(const topic_question&, const tail_read&)> on_taken;
  /// More is known of a topic.
  std::function<void(const std::string& topic)> on_more{};
  /// The store has answered a read of this host's own, or not.
  std::function<void(bool answered)> on_store{};
  /// A topic is known through another host than before, or by the store.
  std::function<void(const std::string& topic, const topic_status&)>
      on_source{};
  /// The first of several answers that are too old, of one host.
  std::function<void(const topic_question&, const tail_read&,
                     milliseconds max_age)>
      on_stale{};
};

}  // namespace slatestall
