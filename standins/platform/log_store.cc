#include "standins/platform/log_store.h"

#include <algorithm>
#include <utility>

namespace slatestall {

log_store::log_store(log_retention retention) : retention_(retention) {}

std::uint64_t log_store::Append(const std::string& stream, std::string payload,
                                time_point now) {
  stream_records& kept = streams_[stream];
  const std::uint64_t offset = kept.next++;
  kept.records.push_back({offset, now, std::move(payload)});
  Trim(kept, now);
  return offset;
}

void log_store::Restore(milliseconds age, time_point now) {
  ++era_;
  for (auto& [name, stream] : streams_) {
    auto& records = stream.records;
    while (!records.empty() && records.back().appended > now - age) {
      stream.next = records.back().offset;
      records.pop_back();
    }
  }
}

log_page log_store::Read(const std::string& stream, std::uint64_t from,
                         std::size_t max_records, time_point now) {
  stream_records& kept = streams_[stream];
  Trim(kept, now);
  log_page page;
  page.next = kept.next;
  page.first = kept.records.empty() ? kept.next : kept.records.front().offset;
  const std::uint64_t start = std::max(from, page.first);
  for (std::uint64_t offset = start;
       offset < page.next && page.records.size() < max_records; ++offset) {
    page.records.push_back(kept.records[offset - page.first]);
  }
  return page;
}

void log_store::Trim(stream_records& stream, time_point now) const {
  auto& records = stream.records;
  while (!records.empty() &&
         (records.size() > retention_.records ||
          now - records.front().appended > retention_.age)) {
    records.pop_front();
  }
}

}  // namespace slatestall
