#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "slatestall/gateway/platform_link.h"
#include "slatestall/gateway/topic_tail.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Asks another host for what it has read of a topic; nothing where
/// this host is to read the store itself, or the other one cannot tell.
/// @ingroup gateway
using ask_reader =
    std::function<void(const std::string& topic, std::uint64_t from,
                       std::function<void(std::optional<tail_read>)> done)>;

/// @brief Lets most hosts follow topics through a few that read the store:
/// every host of a fleet reading for itself would spend the store's calls on
/// what all of them learn alike.
///
/// What a reader tells counts only while it has itself read the store just
/// now. Else, and where no reader answers, a host reads the store as if it were
/// alone, so that no reader's fault can make others older than that limit.
class shared_reading {
 public:
  /// @param context Of the thread that follows the topics.
  /// @param ask Called on that thread; `done` may come on any.
  shared_reading(asio::io_context& context, ask_reader ask, now_function now);

  /// @brief The topic read through readers where that works.
  /// @param max_age Of what a reader tells.
  keyed_topic Share(const std::string& name, const keyed_topic& direct,
                    milliseconds max_age);

  /// @brief For other hosts; from any thread.
  std::optional<tail_read> ReadTail(const std::string& topic,
                                    std::uint64_t from) const;

 private:
  asio::io_context& context_;
  ask_reader ask_;
  now_function now_;
  std::map<std::string, std::shared_ptr<topic_tail>> tails_;
};

}  // namespace slatestall
