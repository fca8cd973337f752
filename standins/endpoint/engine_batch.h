#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "standins/endpoint/generation.h"

namespace slatestall {

struct engine_batch_options {
  std::uint32_t slots = 8;
  double step_ms = 4;
  double step_growth = 0.02;
};

struct engine_batch_hooks {
  std::function<void(generation&)> admitted;              ///< Got its slot.
  std::function<void(const generation_ptr&)> progressed;  ///< Has more tokens.
  std::function<double()> slow_factor;
};

/// @brief Continuous batching: every step gives each running generation one
/// token; free slots go to the waiting ones by priority, then by arrival.
class engine_batch {
 public:
  engine_batch(asio::io_context& context, const engine_batch_options& options,
               engine_batch_hooks hooks);

  void Submit(const generation_ptr& work);
  /// @brief Takes a generation out of its slot or the queue.
  void Remove(const generation_ptr& work);

  std::size_t Running() const { return running_.size(); }
  std::size_t Waiting() const { return waiting_.size(); }

 private:
  using queue_key = std::pair<int, std::uint64_t>;

  void FillSlots();
  void Schedule();
  void Step();
  double StepMs() const;

  engine_batch_options options_;
  engine_batch_hooks hooks_;
  asio::steady_timer timer_;
  bool scheduled_ = false;
  time_point due_{};
  std::uint64_t arrivals_ = 0;
  std::map<queue_key, generation_ptr> waiting_;
  std::vector<generation_ptr> running_;
};

}  // namespace slatestall
