#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "slatestall/gateway/platform_link.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How a follower paces its reads.
/// @ingroup gateway
struct follow_pace {
  milliseconds wait{0};      ///< How long the store holds a read open.
  milliseconds interval{0};  ///< Between the end of a read and the next.
};

struct follow_hooks {
  /// The newest of every key: what is not among them is gone.
  std::function<void(const std::vector<keyed_record>&)> on_all;
  std::function<void(const std::vector<keyed_record>&)> on_changes;
  /// After each read, before its records are told.
  std::function<void(const keyed_read& read)> on_read;
};

/// @brief Follows one compacted topic: the newest of every key once, then the
/// records after it; anew where these are no longer kept.
class topic_follower {
 public:
  topic_follower(asio::io_context& context, keyed_topic topic,
                 const follow_pace& pace, follow_hooks hooks);
  ~topic_follower();
  topic_follower(const topic_follower&) = delete;
  topic_follower& operator=(const topic_follower&) = delete;

  void Start();

 private:
  void ReadNewest();
  void ReadNext();
  void OnNewest(const keyed_read& read);
  void OnNext(const keyed_read& read);
  void Retry();
  void After(milliseconds delay, void (topic_follower::*next)());

  asio::io_context& context_;
  asio::steady_timer timer_;
  keyed_topic topic_;
  follow_pace pace_;
  follow_hooks hooks_;
  std::uint64_t next_ = 0;
  bool has_all_ = false;
  unsigned failures_ = 0;
  /// Completions hold it weakly: a read may end after the follower has.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
