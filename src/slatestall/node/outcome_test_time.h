#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>

#include "slatestall/model/time.h"

namespace slatestall::outcome_test {

/// @brief One test's time and everything that is to happen in it.
class virtual_time {
 public:
  time_point Now() const { return now_; }
  void At(time_point when, std::function<void()> event) {
    events_.emplace(std::max(when, now_), std::move(event));
  }
  void After(milliseconds delay, std::function<void()> event) {
    At(now_ + delay, std::move(event));
  }
  /// Runs what is due until `end`.
  void RunUntil(time_point end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

 private:
  time_point now_{std::chrono::hours{1}};
  std::multimap<time_point, std::function<void()>> events_;
};

}  // namespace slatestall::outcome_test
