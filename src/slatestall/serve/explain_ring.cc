#include "slatestall/serve/explain_ring.h"

#include <algorithm>
#include <utility>

namespace slatestall {

explain_ring::explain_ring(std::size_t capacity)
    : slots_(std::max<std::size_t>(1, capacity)) {}

void explain_ring::Add(request_trace_ptr trace) {
  const std::lock_guard lock(mutex_);
  request_trace_ptr& slot = slots_[next_];
  next_ = (next_ + 1) % slots_.size();
  if (slot) {
    by_id_.erase(slot->id);
  }
  by_id_[trace->id] = trace;
  slot = std::move(trace);
}

request_trace_ptr explain_ring::Find(const std::string& request) const {
  const std::lock_guard lock(mutex_);
  const auto found = by_id_.find(request);
  return found == by_id_.end() ? nullptr : found->second;
}

}  // namespace slatestall
