#include "slatestall/dispatch/result_room.h"

#include <algorithm>

namespace slatestall {

void result_room::NoteMade(const endpoint_incarnation& endpoint,
                           const std::string& handle, std::uint64_t piece,
                           std::uint64_t bytes, time_point now,
                           duration keep_time) {
  Expire(now);
  NoteFreed(handle);  // A piece made again under the same name.
  results_[handle] = {endpoint, piece, bytes};
  used_[endpoint] += bytes;
  expiries_.push_back({now + keep_time, handle});
}

bool result_room::IsOfAnother(const std::string& handle, std::uint64_t piece,
                              time_point now) {
  Expire(now);
  const auto found = results_.find(handle);
  return found != results_.end() && found->second.piece != piece;
}

void result_room::NoteFreed(const std::string& handle) {
  const auto found = results_.find(handle);
  if (found == results_.end()) {
    return;
  }
  auto& used = used_[found->second.endpoint];
  used -= std::min(used, found->second.bytes);
  if (used == 0) {
    used_.erase(found->second.endpoint);
  }
  results_.erase(found);
}

std::uint64_t result_room::Used(const endpoint_incarnation& endpoint,
                                time_point now) {
  Expire(now);
  const auto found = used_.find(endpoint);
  return found == used_.end() ? 0 : found->second;
}

void result_room::Expire(time_point now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    NoteFreed(expiries_.front().handle);
    expiries_.pop_front();
  }
}

}  // namespace slatestall
