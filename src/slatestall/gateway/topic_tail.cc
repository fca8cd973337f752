#include "slatestall/gateway/topic_tail.h"

#include <utility>

namespace slatestall {
namespace {

/// Readers ask every second or so; one that lags further reads the store.
constexpr milliseconds kKept{5000};

}  // namespace

void topic_tail::Note(std::uint64_t from, const keyed_read& read) {
  const std::lock_guard lock(mutex_);
  const time_point now = now_();
  if (from != next_) {
    entries_.clear();
    first_ = from;
  }
  std::uint64_t offset = from;
  for (const auto& record : read.records) {
    entries_.push_back({offset++, now, record});
  }
  next_ = read.next;
  read_at_ = now;
  while (!entries_.empty() && now - entries_.front().read_at > kKept) {
    first_ = entries_.front().offset + 1;
    entries_.pop_front();
  }
}

std::optional<tail_read> topic_tail::ReadFrom(std::uint64_t from) const {
  const std::lock_guard lock(mutex_);
  if (read_at_ == time_point{} || from < first_ || from > next_) {
    return std::nullopt;
  }
  tail_read read;
  read.next = next_;
  read.age = std::chrono::duration_cast<milliseconds>(now_() - read_at_);
  for (const auto& entry : entries_) {
    if (entry.offset >= from) {
      read.records.push_back(entry.record);
    }
  }
  return read;
}

}  // namespace slatestall
