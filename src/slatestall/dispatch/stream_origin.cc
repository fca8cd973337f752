#include "slatestall/dispatch/stream_origin.h"

namespace slatestall {

void stream_origins::Note(const std::string& stream,
                          const stream_origin& origin, duration lifetime,
                          time_point now) {
  Forget(now);
  const auto [found, is_new] = by_stream_.try_emplace(stream);
  auto& kept = found->second;
  if (is_new) {
    kept.origin = origin;
  }
  if (now + lifetime <= kept.until) {
    return;
  }
  kept.until = now + lifetime;
  ends_.emplace(kept.until, stream);
}

std::optional<stream_origin> stream_origins::Find(const std::string& stream,
                                                  time_point now) const {
  const auto found = by_stream_.find(stream);
  if (found == by_stream_.end() || found->second.until <= now) {
    return std::nullopt;
  }
  return found->second.origin;
}

void stream_origins::Forget(time_point now) {
  while (!ends_.empty() &&
         (ends_.begin()->first <= now || by_stream_.size() >= most_)) {
    const auto found = by_stream_.find(ends_.begin()->second);
    if (found != by_stream_.end() &&
        found->second.until == ends_.begin()->first) {
      by_stream_.erase(found);
    }
    ends_.erase(ends_.begin());
  }
}

}  // namespace slatestall
