#include "slatestall/node/outcome_gate.h"

namespace slatestall {

void outcome_gate::Open(const std::string& request, time_point deadline) {
  const std::lock_guard lock(mutex_);
  open_[request] = deadline;
}

void outcome_gate::Close(const std::string& request) {
  const std::lock_guard lock(mutex_);
  open_.erase(request);
}

void outcome_gate::CloseAll() {
  const std::lock_guard lock(mutex_);
  open_.clear();
}

void outcome_gate::Expire(time_point now) {
  const std::lock_guard lock(mutex_);
  std::erase_if(open_, [now](const auto& item) { return item.second <= now; });
}

bool outcome_gate::IsOpen(const std::string& request, time_point now) const {
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(request);
  return found != open_.end() && now < found->second;
}

}  // namespace slatestall
