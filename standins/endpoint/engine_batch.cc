#include "standins/endpoint/engine_batch.h"

#include <algorithm>

namespace slatestall {
namespace {

/// A step that is later than this is not caught up with.
constexpr milliseconds kMaxStepDelay{50};

}  // namespace

engine_batch::engine_batch(asio::io_context& context,
                           const engine_batch_options& options,
                           engine_batch_hooks hooks)
    : options_(options), hooks_(std::move(hooks)), timer_(context) {}

void engine_batch::Submit(const generation_ptr& work) {
  waiting_.emplace(queue_key{work->priority, arrivals_++}, work);
  FillSlots();
  Schedule();
}

void engine_batch::Remove(const generation_ptr& work) {
  std::erase(running_, work);
  std::erase_if(waiting_,
                [&](const auto& item) { return item.second == work; });
}

void engine_batch::FillSlots() {
  while (running_.size() < options_.slots && !waiting_.empty()) {
    const auto first = waiting_.begin();
    running_.push_back(first->second);
    waiting_.erase(first);
    hooks_.admitted(*running_.back());
  }
}

double engine_batch::StepMs() const {
  const double others = static_cast<double>(running_.size()) - 1;
  return options_.step_ms * (1 + options_.step_growth * std::max(0.0, others)) *
         hooks_.slow_factor();
}

void engine_batch::Schedule() {
  if (scheduled_ || running_.empty()) {
    return;
  }
  scheduled_ = true;
  const time_point now = std::chrono::steady_clock::now();
  // Counting from the last step keeps the rate exact though timers are late.
  const time_point base = now - due_ < kMaxStepDelay ? due_ : now;
  due_ = base + std::chrono::duration_cast<duration>(
                    std::chrono::duration<double, std::milli>(StepMs()));
  timer_.expires_at(due_);
  timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      scheduled_ = false;
      Step();
    }
  });
}

void engine_batch::Step() {
  const double step_ms = StepMs();
  const std::vector<generation_ptr> batch = running_;
  for (const auto& work : batch) {
    // A hook of an earlier one may have taken it out.
    if (std::find(running_.begin(), running_.end(), work) == running_.end()) {
      continue;
    }
    work->engine_ms += step_ms;
    if (work->prefill_left_ms > 0) {
      work->prefill_left_ms -= step_ms;
      continue;
    }
    ++work->produced;
    if (work->IsComplete()) {
      std::erase(running_, work);
    }
    hooks_.progressed(work);
  }
  FillSlots();
  Schedule();
}

}  // namespace slatestall
