#include "slatestall/loss_report.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "slatestall/model/name_table.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr name_table<loss_kind, 3> kKindNames{{
    {loss_kind::kLate, "late"},
    {loss_kind::kRefused, "refused"},
    {loss_kind::kFailed, "failed"},
}};

constexpr std::int64_t kMillisecondsPerSecond = 1000;

/// Refusals that tell the caller of a mistake of its own.
constexpr std::array<std::string_view, 4> kCallersOwn{
    "not-found", "unauthorized", "invalid-request", "payload-too-large"};
/// Refusals that say that the request has not run.
constexpr std::array<std::string_view, 5> kNotRun{
    "overloaded", "no-configuration", "deadline-unreachable", "no-endpoint",
    "quarantined"};

template <std::size_t N>
bool IsOneOf(const std::array<std::string_view, N>& all,
             std::string_view name) {
  return std::find(all.begin(), all.end(), name) != all.end();
}

std::string TextIn(const json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

std::int64_t NumberIn(const json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_number() ? found->get<std::int64_t>()
                                                   : 0;
}

bool IsSet(const json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && *found == true;
}

/// What a late request waited for longest.
std::string LateCause(const json& line) {
  if (NumberIn(line, "attempts") > 1) {
    return "tried more than one endpoint";
  }
  const auto first_event = NumberIn(line, "first_event_ms");
  if (IsSet(line, "late_pause") &&
      first_event <= NumberIn(line, "objective_ms")) {
    return "pause in the stream";
  }
  const bool is_stream = first_event > 0;
  const auto end = is_stream ? first_event : NumberIn(line, "after_ms");
  std::pair longest{end - NumberIn(line, "sent_ms"),
                    std::string("the endpoint's first event")};
  if (!is_stream) {
    longest.second = "the endpoint's answer";
  }
  auto begun = NumberIn(line, "sent_ms");
  const auto stages = line.find("stages");
  if (stages != line.end() && stages->is_array()) {
    for (const auto& stage : *stages) {
      const auto took =
          NumberIn(stage, "made_ms") - NumberIn(stage, "begun_ms");
      begun = std::min(begun, NumberIn(stage, "begun_ms"));
      longest = std::max(longest,
                         {took, "stage service " + TextIn(stage, "service")});
    }
  }
  return std::max(longest, {begun, "before its first stage"}).second;
}

}  // namespace

std::string_view NameOf(loss_kind kind) { return NameIn(kKindNames, kind); }

void loss_reader::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    const auto start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    const auto line = json::parse(text.substr(start), nullptr, false);
    if (line.is_discarded()) {
      ++report_.unreadable;
    } else if (line.is_object()) {
      TakeLine(line);
    }
  }
}

void loss_reader::TakeLine(const json& line) {
  first_ms_.try_emplace(TextIn(line, "host"), NumberIn(line, "ms"));
  report_.dropped += static_cast<std::size_t>(NumberIn(line, "dropped_before"));
  const auto event = TextIn(line, "event");
  if (event == "booking_refused") {
    refused_at_[TextIn(line, "request")] = TextIn(line, "service");
  } else if (event == "request_refused") {
    const auto kind = TextIn(line, "kind");
    if (IsOneOf(kCallersOwn, kind)) {
      return;
    }
    if (kind == "overloaded") {
      without_room_.push_back(line);
    } else if (IsOneOf(kNotRun, kind)) {
      Note(line, loss_kind::kRefused, kind + ": " + TextIn(line, "detail"));
    } else {
      Note(line, loss_kind::kFailed, kind + ": " + TextIn(line, "detail"));
    }
  } else if (event == "stream_cut") {
    Note(line, loss_kind::kFailed, "stream cut: " + TextIn(line, "detail"));
  } else if (event == "request_done") {
    const auto outcome = TextIn(line, "outcome");
    const bool answered = outcome == "answered" || outcome == "streamed";
    if (answered && IsSet(line, "late")) {
      Note(line, loss_kind::kLate, LateCause(line));
    } else if (answered) {
      report_.in_time += static_cast<std::size_t>(
          std::max<std::int64_t>(1, NumberIn(line, "sampled")));
    }
  }
}

void loss_reader::Note(const json& line, loss_kind kind,
                       const std::string& cause) {
  const auto since = NumberIn(line, "ms") - first_ms_[TextIn(line, "host")];
  const auto second = since / kMillisecondsPerSecond;
  const auto from =
      span_seconds_ > 0 ? second / span_seconds_ * span_seconds_ : 0;
  ++counts_[{from, TextIn(line, "route"), kind, cause}];
}

loss_report loss_reader::Take() {
  for (const auto& line : std::exchange(without_room_, {})) {
    const auto found = refused_at_.find(TextIn(line, "request"));
    const auto at =
        found == refused_at_.end() ? std::string("a stage") : found->second;
    Note(line, loss_kind::kRefused, "no room at " + at);
  }
  for (const auto& [key, requests] : std::exchange(counts_, {})) {
    const auto& [from, route, kind, cause] = key;
    report_.rows.push_back({from, route, kind, cause, requests});
  }
  return std::exchange(report_, {});
}

}  // namespace slatestall
