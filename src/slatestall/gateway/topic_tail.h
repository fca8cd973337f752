#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "slatestall/gateway/platform_link.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What another host is told of a topic.
/// @ingroup gateway
struct tail_read {
  std::vector<keyed_record> records;
  std::uint64_t next = 0;
  milliseconds age{0};  ///< Since the store was last read.
};

/// @brief The newest records that this host has read of a topic, for hosts
/// that read the topic through it. Any thread may use it.
class topic_tail {
 public:
  explicit topic_tail(now_function now) : now_(std::move(now)) {}

  /// @brief Notes a successful read of the store.
  void Note(std::uint64_t from, const keyed_read& read);
  /// @returns nothing where it does not hold all records from there on.
  std::optional<tail_read> ReadFrom(std::uint64_t from) const;

 private:
  struct entry {
    std::uint64_t offset = 0;
    time_point read_at{};
    keyed_record record;
  };

  now_function now_;
  mutable std::mutex mutex_;
  std::deque<entry> entries_;
  std::uint64_t first_ = 0;  ///< Of what is held without a gap.
  std::uint64_t next_ = 0;
  time_point read_at_{};
};

}  // namespace slatestall
