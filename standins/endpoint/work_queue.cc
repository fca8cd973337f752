#include "standins/endpoint/work_queue.h"

#include <asio/steady_timer.hpp>
#include <cmath>
#include <memory>

namespace slatestall {

work_queue::work_queue(asio::io_context& context,
                       const work_queue_options& options,
                       std::function<double()> slow_factor)
    : context_(context),
      options_(options),
      slow_factor_(std::move(slow_factor)),
      random_(options.seed) {}

work_queue::work_number work_queue::Submit(queued_work work) {
  const work_number number = next_++;
  const queue_key key{!work.interactive, number};
  waiting_.emplace(key, std::move(work));
  FillSlots();
  return number;
}

void work_queue::Withdraw(work_number number) {
  waiting_.erase({false, number});
  waiting_.erase({true, number});
}

void work_queue::FillSlots() {
  while (running_ < options_.slots && !waiting_.empty()) {
    const auto first = waiting_.begin();
    const queued_work work = std::move(first->second);
    waiting_.erase(first);
    Run(work);
  }
}

void work_queue::Run(const queued_work& work) {
  ++running_;
  work.started();
  std::normal_distribution<double> spread(0, options_.service_spread);
  const std::chrono::duration<double, std::milli> drawn(
      options_.service_ms * std::exp(spread(random_)) * slow_factor_());
  const auto service_time = std::chrono::duration_cast<microseconds>(drawn);
  auto timer = std::make_shared<asio::steady_timer>(context_, service_time);
  timer->async_wait(
      [this, timer, work, service_time](const std::error_code& error) {
        if (error) {
          return;
        }
        --running_;
        work.done(std::chrono::duration_cast<milliseconds>(service_time));
        FillSlots();
      });
}

}  // namespace slatestall
