#include "slatestall/gateway/topic_tail.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

/// A host that has not read on for so long reads all anew.
constexpr milliseconds kDeletionsKept{60'000};
/// Of one message. A status behind it on a link of 10 Mbit/s, and behind one of
/// each other topic, is not yet overdue.
constexpr std::size_t kPageBytes = std::size_t{64} << 10U;

/// Of its key and value as they are passed on.
std::size_t BytesOf(const keyed_record& record) {
  if (record.large) {
    return record.key.size() +
           record.large->Outline().pieces.size() * sizeof(value_piece);
  }
  return record.key.size() + (record.value ? record.value->size() : 0);
}

/// As it is passed on: a large value is cut once, and kept once.
keyed_record Kept(keyed_record record) {
  if (!record.large && record.value &&
      record.value->size() >= large_value::kMinBytes) {
    record.large = std::make_shared<const large_value>(*record.value);
  }
  if (record.large) {
    record.value = std::string();
  }
  return record;
}

/// Whether a page has room for more.
class page_room {
 public:
  bool Take(const keyed_record& record) {
    bytes_ += BytesOf(record);
    return bytes_ <= kPageBytes || std::exchange(is_empty_, false);
  }

 private:
  std::size_t bytes_ = 0;
  bool is_empty_ = true;
};

}  // namespace

void topic_tail::NoteAll(const keyed_read& read, milliseconds age) {
  const std::lock_guard lock(mutex_);
  if (read.era < era_) {
    return;
  }
  era_ = read.era;
  newest_.clear();
  changed_.clear();
  deletions_.clear();
  for (const auto& record : read.records) {
    newest_[record.key] = {Kept(record), 0};
  }
  has_all_ = true;
  first_ = read.next;
  NoteOrigin(read, age);
}

void topic_tail::Note(std::uint64_t from, const keyed_read& read,
                      milliseconds age) {
  const std::lock_guard lock(mutex_);
  if (read.era != era_) {
    return;  // The whole is about to be read anew, or was.
  }
  const time_point now = now_();
  if (from < next_ && read.next < next_) {
    return;  // Another read under way meanwhile has brought more.
  }
  if (from > next_) {
    // Past a gap, deletions may have been missed.
    has_all_ = false;
    newest_.clear();
    changed_.clear();
    deletions_.clear();
    first_ = from;
    next_ = from;
  }
  std::uint64_t offset = from;
  for (const auto& record : read.records) {
    const auto at = read.is_compacted ? record.offset : offset++;
    if (at >= next_) {
      Put(record, at, now);
    }
  }
  NoteOrigin(read, age);
  ForgetDeletions(now);
}

void topic_tail::NoteOrigin(const keyed_read& read, milliseconds age) {
  next_ = read.next;
  read_at_ = now_() - age;
  host_ = read.host;
  steps_ = read.steps;
}

void topic_tail::Put(const keyed_record& record, std::uint64_t offset,
                     time_point now) {
  auto& known = newest_[record.key];
  changed_.erase({known.offset, record.key});
  known = {Kept(record), offset};
  known.record.offset = offset;
  changed_.emplace(offset, record.key);
  if (!record.value) {
    deletions_.push_back({now, offset, record.key});
  }
}

void topic_tail::ForgetDeletions(time_point now) {
  while (!deletions_.empty() && now - deletions_.front().at > kDeletionsKept) {
    const auto& old = deletions_.front();
    const auto found = newest_.find(old.key);
    if (found != newest_.end() && found->second.offset == old.offset) {
      newest_.erase(found);
      changed_.erase({old.offset, old.key});
      first_ = std::max(first_, old.offset + 1);
    }
    deletions_.pop_front();
  }
}

tail_read topic_tail::Told() const {
  tail_read read;
  read.next = next_;
  read.era = era_;
  read.age = Age();
  read.steps = steps_;
  return read;
}

milliseconds topic_tail::Age() const {
  return std::chrono::duration_cast<milliseconds>(now_() - read_at_);
}

topic_status topic_tail::Status() const {
  const std::lock_guard lock(mutex_);
  topic_status status;
  status.is_known = read_at_ != time_point{};
  if (status.is_known) {
    status.era = era_;
    status.next = next_;
    status.age = Age();
    status.host = host_;
    status.steps = steps_;
  }
  return status;
}

std::uint64_t topic_tail::Era() const {
  const std::lock_guard lock(mutex_);
  return era_;
}

std::uint64_t topic_tail::Next() const {
  const std::lock_guard lock(mutex_);
  return next_;
}

std::optional<tail_read> topic_tail::ReadFrom(std::uint64_t from,
                                              std::uint64_t era) const {
  const std::lock_guard lock(mutex_);
  if (era != era_) {
    return era < era_ ? std::optional(Told()) : std::nullopt;
  }
  if (read_at_ == time_point{} || from > next_) {
    return std::nullopt;
  }
  auto told = Told();
  if (from < first_) {
    told.is_too_old = true;
    return told;
  }
  page_room room;
  for (auto at = changed_.lower_bound({from, {}}); at != changed_.end(); ++at) {
    const auto& record = newest_.at(at->second).record;
    const bool begins =
        told.records.empty() || told.records.back().offset != at->first;
    if (begins && !room.Take(record)) {
      told.next = at->first;
      told.has_more = true;
      break;
    }
    told.records.push_back(record);
  }
  return told;
}

std::optional<tail_read> topic_tail::ReadAll(const std::string& after) const {
  const std::lock_guard lock(mutex_);
  if (!has_all_) {
    return std::nullopt;
  }
  auto told = Told();
  page_room room;
  auto at = after.empty() ? newest_.begin() : newest_.upper_bound(after);
  for (; at != newest_.end(); ++at) {
    const auto& record = at->second.record;
    if (!record.value) {
      continue;
    }
    if (!room.Take(record)) {
      told.has_more = true;
      break;
    }
    told.records.push_back(record);
  }
  return told;
}

}  // namespace slatestall
