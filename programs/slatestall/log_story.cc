#include "slatestall/log_story.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace slatestall {
namespace {

using nlohmann::json;

/// A home lost or a store lost this long before a request still explains it.
constexpr std::int64_t kBeforeMs = 1000;

std::optional<story_line> LineOf(const json& object) {
  if (!object.is_object() || !object.contains("event") ||
      !object["event"].is_string()) {
    return std::nullopt;
  }
  story_line line;
  line.host = object.value("host", "");
  line.ms = object.value("ms", std::int64_t{0});
  line.event = object["event"].get<std::string>();
  line.fields = object;
  for (const char* taken : {"host", "ms", "event", "request"}) {
    line.fields.erase(taken);
  }
  return line;
}

bool Earlier(const story_line& a, const story_line& b) {
  return a.host != b.host ? a.host < b.host : a.ms < b.ms;
}

/// The last line of a request tells how long it had been there.
std::int64_t ArrivalOf(const std::vector<story_line>& own) {
  std::int64_t arrived = own.front().ms;
  for (const auto& line : own) {
    const bool ends =
        line.event == "request_done" || line.event == "request_refused";
    if (ends && line.fields.contains("after_ms")) {
      arrived = line.ms - line.fields["after_ms"].get<std::int64_t>();
    }
  }
  return arrived;
}

}  // namespace

void story_reader::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    const auto start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    const auto object = json::parse(text.substr(start), nullptr, false);
    if (object.is_discarded()) {
      ++unreadable_;
      continue;
    }
    auto line = LineOf(object);
    if (!line) {
      continue;
    }
    if (!object.contains("request")) {
      line->is_own = false;
      others_.push_back(std::move(*line));
    } else if (object["request"] == request_) {
      own_.push_back(std::move(*line));
    }
  }
}

log_story story_reader::Take() {
  log_story story;
  story.unreadable = unreadable_;
  if (own_.empty()) {
    return story;
  }
  std::stable_sort(own_.begin(), own_.end(), Earlier);
  story.arrived_ms = ArrivalOf(own_);
  // A copy: the list that holds it is handed over and grows.
  const std::string host = own_.front().host;
  const auto last = own_.back().ms;
  story.lines = std::move(own_);
  std::copy_if(others_.begin(), others_.end(), std::back_inserter(story.lines),
               [&](const story_line& line) {
                 return line.host == host && line.ms <= last &&
                        line.ms >= story.arrived_ms - kBeforeMs;
               });
  std::stable_sort(story.lines.begin(), story.lines.end(), Earlier);
  return story;
}

}  // namespace slatestall
