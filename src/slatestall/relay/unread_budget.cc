#include "slatestall/relay/unread_budget.h"

namespace slatestall {

void unread_budget::Set(connection_id id, std::size_t bytes) {
  const std::size_t before = Of(id);
  if (before == bytes) {
    return;
  }
  if (before >= kSmallestClosed) {
    large_.erase({before, id});
  }
  if (bytes >= kSmallestClosed) {
    large_.insert({bytes, id});
  }
  if (bytes == 0) {
    unread_.erase(id);
  } else {
    unread_[id] = bytes;
  }
  total_ = total_ - before + bytes;
}

std::size_t unread_budget::Of(connection_id id) const {
  const auto found = unread_.find(id);
  return found == unread_.end() ? 0 : found->second;
}

std::optional<unread_budget::connection_id> unread_budget::ToClose() const {
  if (total_ <= limit_ || large_.empty()) {
    return std::nullopt;
  }
  return large_.rbegin()->second;
}

}  // namespace slatestall
