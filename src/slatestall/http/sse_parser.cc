#include "slatestall/http/sse_parser.h"

#include <utility>

namespace slatestall {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kDataPrefix = "data: ";

}  // namespace

sse_parser::sse_parser(std::size_t max_event_bytes, event_hook on_event)
    : max_event_bytes_(max_event_bytes), on_event_(std::move(on_event)) {}

bool sse_parser::Feed(std::string_view piece) {
  for (const char c : piece) {
    if (too_large_) {
      break;
    }
    TakeCharacter(c);
  }
  return !too_large_;
}

void sse_parser::TakeCharacter(char c) {
  const bool second_of_pair = c == '\n' && after_carriage_return_;
  after_carriage_return_ = c == '\r';
  if (second_of_pair) {
    return;
  }
  if (c == '\r' || c == '\n') {
    TakeLine();
    line_.clear();
    return;
  }
  if (line_.size() + event_.data.size() + event_.type.size() >=
      max_event_bytes_) {
    too_large_ = true;
    return;
  }
  line_.push_back(c);
}

void sse_parser::TakeLine() {
  std::string_view line = line_;
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
  sse_event event = std::exchange(event_, {});
  if (std::exchange(has_data_, false)) {
    on_event_(std::move(event));
  }
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
