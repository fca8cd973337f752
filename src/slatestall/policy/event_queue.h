#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief The clock of a replay: runs actions in the order of their times, and
/// in the order of their entry where the times are equal.
class event_queue {
 public:
  explicit event_queue(time_point start) : now_(start) {}

  time_point Now() const { return now_; }

  void At(time_point when, std::function<void()> action) {
    events_.push({when < now_ ? now_ : when, next_++, std::move(action)});
  }
  void After(duration delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }

  /// @brief Runs until nothing is left or the next event is after `end`.
  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.action();
    }
  }

 private:
  struct event {
    time_point when;
    std::uint64_t order;
    std::function<void()> action;

    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  time_point now_;
  std::uint64_t next_ = 0;
  std::priority_queue<event> events_;
};

}  // namespace slatestall
