#include "slatestall/relay/event_splitter.h"

#include <charconv>
#include <utility>

namespace slatestall {
namespace {

constexpr std::string_view kIdField = "id:";

/// Position just behind the first blank line at or after `from`, or npos.
/// Lines may end in LF or CR LF.
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  std::size_t at = text.find('\n', from);
  while (at != std::string_view::npos) {
    std::size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') {
      ++next;
    }
    if (next < text.size() && text[next] == '\n') {
      return next + 1;
    }
    at = text.find('\n', at + 1);
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> NumberIn(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  if (!text.empty() && text.back() == '\r') {
    text.remove_suffix(1);
  }
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> EventId(std::string_view event) {
  while (!event.empty()) {
    const auto end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    if (line.starts_with(kIdField)) {
      return NumberIn(line.substr(kIdField.size()));
    }
    if (end == std::string_view::npos) {
      break;
    }
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace

event_splitter::event_splitter(std::size_t max_event_bytes)
    : max_event_bytes_(max_event_bytes) {}

std::vector<whole_event> event_splitter::Feed(std::string_view bytes) {
  std::vector<whole_event> events;
  if (overflowed_) {
    return events;
  }
  held_ += bytes;
  std::size_t end = EndOfEvent(held_, scanned_);
  while (end != std::string::npos) {
    whole_event event;
    event.text = held_.substr(0, end);
    event.id = EventId(event.text);
    events.push_back(std::move(event));
    held_.erase(0, end);
    end = EndOfEvent(held_, 0);
  }
  // A line end may still be the first half of a blank line.
  scanned_ = held_.size() < 2 ? 0 : held_.size() - 2;
  if (held_.size() > max_event_bytes_) {
    overflowed_ = true;
    held_.clear();
  }
  return events;
}

}  // namespace slatestall
