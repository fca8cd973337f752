#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
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

/// @brief Where a host of a large fleet reads the whole of a topic first.
enum class whole_source {
  kHosts,  ///< From the host that it follows.
  kStore,  ///< The list of hosts: without it, a host knows none to follow.
};

/// @brief Lets most hosts follow topics through a few that read the store:
/// every host of a fleet reading for itself would spend the store's calls on
/// what all of them learn alike.
///
/// What a host tells counts only while the store was read just now. Else, and
/// where none answers, a host asks some others, and reads the store only where
/// none of them has read it just now either and, in a large fleet, its turn has
/// come: no reader's fault can make others older than that limit, and where the
/// store turns readers away, some hosts read in their place, not all.
///
/// Where the store does not answer either, what any other host knows counts:
/// a host that starts meanwhile would else refuse every caller until the store
/// is back, and one that the store turns away would miss what others learn.
class shared_reading {
 public:
  /// @param context Of the thread that follows the topics.
  /// @param seed Draws this host's turns at the store.
  shared_reading(asio::io_context& context, topic_asks asks, now_function now,
                 std::uint64_t seed = 0);
  /// @param thread Where the topics are followed.
  shared_reading(task_thread thread, topic_asks asks, now_function now,
                 std::uint64_t seed = 0);

  /// @brief The topic read through other hosts where that works.
  /// @param max_age Of what a reader tells.
  /// @param hold How long a question may be held there.
  keyed_topic Share(const std::string& name, const keyed_topic& direct,
                    milliseconds max_age, milliseconds hold,
                    whole_source whole_from = whole_source::kHosts);

  /// @brief For other hosts; from any thread.
  std::optional<tail_read> Answer(const topic_question& question) const;
  /// @brief Of each topic shared, by name; from any thread.
  std::map<std::string, topic_status> Status() const;

 private:
  task_thread thread_;
  topic_asks asks_;
  now_function now_;
  std::shared_ptr<store_turns> turns_;
  std::map<std::string, std::shared_ptr<topic_tail>> tails_;
};

}  // namespace slatestall
