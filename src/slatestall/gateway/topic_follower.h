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
  /// How long what a store has lost takes to be written to it again.
  milliseconds restore_time{6000};
};

struct follow_hooks {
  /// The newest of every key: what is not among them is gone.
  std::function<void(const std::vector<keyed_record>&)> on_all;
  std::function<void(const std::vector<keyed_record>&)> on_changes;
  /// After each read, before its records are told.
  std::function<void(const keyed_read& read)> on_read;
  /// In place of `on_all` while a store that came back from an older copy is
  /// written to again: what is not among them may only be lost.
  std::function<void(const std::vector<keyed_record>&)> on_restored{};
};

/// @brief Follows one compacted topic: the newest of every key once, then the
/// records after it; anew where these are no longer kept.
///
/// A store may come back from an older copy, in a later era. What was written
/// since the copy is written again by those who wrote it; until that is over
/// the copy adds to what is believed and takes nothing away. Then all is read
/// once more, and believed.
class topic_follower {
 public:
  topic_follower(asio::io_context& context, keyed_topic topic,
                 const follow_pace& pace, follow_hooks hooks);
  ~topic_follower();
  topic_follower(const topic_follower&) = delete;
  topic_follower& operator=(const topic_follower&) = delete;

  void Start();

  /// Gets whether all that the store held at some moment since the call has
  /// passed through the hooks.
  using current_hook = std::function<void(bool is_current)>;
  /// @brief Reads on at once, by the store itself.
  void ReadNow(current_hook done);

 private:
  void ReadNewest();
  void ReadNext();
  /// @param from Where the next read was to begin when this one did.
  void OnNewest(std::uint64_t from, const keyed_read& read);
  void OnNext(std::uint64_t from, const keyed_read& read);
  void StartReadNow();
  bool TakeCurrent(std::uint64_t from, const keyed_read& read);
  void TakeChanges(std::uint64_t from, const keyed_read& read);
  void Retry();
  void BeginRestoration();
  /// @brief Whether a read is of an era that others have seen to be over.
  bool IsOutdated(const keyed_read& read) const {
    return has_all_ && read.outcome == store_outcome::kDone && read.era < era_;
  }
  void After(milliseconds delay, void (topic_follower::*next)());

  asio::io_context& context_;
  asio::steady_timer timer_;
  keyed_topic topic_;
  follow_pace pace_;
  follow_hooks hooks_;
  asio::steady_timer restored_timer_;
  std::uint64_t next_ = 0;
  std::uint64_t era_ = 0;
  bool has_all_ = false;
  bool restores_ = false;        ///< What the store lost is written again.
  bool reads_all_next_ = false;  ///< It has been.
  unsigned failures_ = 0;
  bool reads_now_ = false;
  std::vector<current_hook> await_now_;  ///< For the next such read.
  /// Completions hold it weakly: a read may end after the follower has.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
