#include "slatestall/http/sse_parser.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kDataPrefix = "data: ";

/// Where the first line of `text` ends, or the size where it goes on.
std::size_t LineEnd(std::string_view text) {
  const std::size_t feed = std::min(text.find('\n'), text.size());
  return std::min(text.substr(0, feed).find('\r'), feed);
}

}  // namespace

sse_parser::sse_parser(std::size_t max_event_bytes, event_hook on_event)
    : max_event_bytes_(max_event_bytes), on_event_(std::move(on_event)) {}

bool sse_parser::Feed(std::string_view piece) {
  while (!piece.empty() && !too_large_) {
    if (std::exchange(after_carriage_return_, false) && piece[0] == '\n') {
      piece.remove_prefix(1);
      continue;
    }
    const std::size_t end = LineEnd(piece);
    if (end > Room()) {
      too_large_ = true;
      break;
    }
    if (end == piece.size()) {
      line_.append(piece);
      break;
    }
    if (line_.empty()) {
      TakeLine(piece.substr(0, end));
    } else {
      line_.append(piece.substr(0, end));
      TakeLine(line_);
      line_.clear();
    }
    after_carriage_return_ = piece[end] == '\r';
    piece.remove_prefix(end + 1);
  }
  return !too_large_;
}

std::size_t sse_parser::Room() const {
  const std::size_t held =
      line_.size() + event_.data.size() + event_.type.size();
  return max_event_bytes_ - std::min(held, max_event_bytes_);
}

void sse_parser::TakeLine(std::string_view line) {
  if (std::exchange(first_line_, false) && line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  if (line.empty()) {
    Dispatch();
    return;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    TakeField(line, {});
    return;
  }
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  TakeField(line.substr(0, colon), value);
}

void sse_parser::TakeField(std::string_view name, std::string_view value) {
  if (name == "event") {
    event_.type = value;
    return;
  }
  if (name != "data") {
    return;
  }
  if (has_data_) {
    event_.data.push_back('\n');
  }
  event_.data.append(value);
  has_data_ = true;
}

void sse_parser::Dispatch() {
  if (std::exchange(has_data_, false)) {
    on_event_(event_);
  }
  event_.type.clear();
  event_.data.clear();
}

std::string SseEvent(std::string_view data) {
  std::string text(kDataPrefix);
  text.reserve(data.size() + 2 * kDataPrefix.size());
  for (std::size_t i = 0; i < data.size(); ++i) {
    const bool pair = data[i] == '\r' && data.substr(i + 1).starts_with('\n');
    if (pair) {
      continue;
    }
    if (data[i] == '\r' || data[i] == '\n') {
      text.append("\n").append(kDataPrefix);
      continue;
    }
    text.push_back(data[i]);
  }
  text.append("\n\n");
  return text;
}

}  // namespace slatestall
