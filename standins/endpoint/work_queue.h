#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "slatestall/model/time.h"

namespace slatestall {

struct work_queue_options {
  std::uint32_t slots = 8;
  double service_ms = 5;
  double service_spread = 0.3;
  std::uint64_t seed = 1;
};

struct queued_work {
  bool interactive = true;
  std::function<void()> started;
  std::function<void(milliseconds service_time)> done;
};

/// @brief Slots that each run one call for a drawn service time.
class work_queue {
 public:
  using work_number = std::uint64_t;

  work_queue(asio::io_context& context, const work_queue_options& options,
             std::function<double()> slow_factor);

  work_number Submit(queued_work work);
  /// @brief Forgets work that has not started; other numbers are ignored.
  void Withdraw(work_number number);

  std::size_t Running() const { return running_; }
  std::size_t Waiting() const { return waiting_.size(); }

 private:
  using queue_key = std::pair<bool, work_number>;

  void FillSlots();
  void Run(const queued_work& work);

  asio::io_context& context_;
  work_queue_options options_;
  std::function<double()> slow_factor_;
  std::mt19937_64 random_;
  work_number next_ = 0;
  std::map<queue_key, queued_work> waiting_;  ///< Interactive work first.
  std::size_t running_ = 0;
};

}  // namespace slatestall
