#include "standins/endpoint/answer_text.h"

#include <algorithm>
#include <cctype>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr std::string_view kMarkerPrefix = "marker:";
constexpr std::size_t kTokenDigits = 4;

bool IsMarkerCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
         c == '-';
}

/// Takes the next marker out of `text`; empty at the end.
std::string TakeMarker(std::string_view& text) {
  while (true) {
    const std::size_t start = text.find(kMarkerPrefix);
    if (start == std::string_view::npos) {
      text = {};
      return {};
    }
    text.remove_prefix(start + kMarkerPrefix.size());
    const auto* const end =
        std::find_if_not(text.begin(), text.end(), IsMarkerCharacter);
    std::string marker(text.begin(), end);
    text.remove_prefix(marker.size());
    if (!marker.empty()) {
      return marker;
    }
  }
}

}  // namespace

std::string FirstMarker(std::string_view text) { return TakeMarker(text); }

std::set<std::string> AllMarkers(std::string_view text) {
  std::set<std::string> markers;
  while (!text.empty()) {
    std::string marker = TakeMarker(text);
    if (!marker.empty()) {
      markers.insert(std::move(marker));
    }
  }
  return markers;
}

std::string AnswerKey(std::string_view text) {
  std::string marker = FirstMarker(text);
  return marker.empty() ? std::string(text) : marker;
}

std::string TokenText(std::string_view answer_key, std::uint32_t index) {
  return "w" + StableHashText(answer_key, index + 1).substr(0, kTokenDigits) +
         " ";
}

std::uint32_t AnswerLength(std::string_view answer_key,
                           std::uint32_t max_tokens) {
  const std::uint32_t half = max_tokens / 2;
  const std::uint64_t draw = StableHash(answer_key) % (max_tokens - half + 1);
  return std::max(1U, half + static_cast<std::uint32_t>(draw));
}

std::string AnswerText(std::string_view answer_key, std::uint32_t max_tokens) {
  const std::uint32_t length = AnswerLength(answer_key, max_tokens);
  std::string text;
  for (std::uint32_t index = 0; index < length; ++index) {
    text += TokenText(answer_key, index);
  }
  return text;
}

std::string_view FinishReason(std::uint32_t length, std::uint32_t max_tokens) {
  return length < max_tokens ? "stop" : "length";
}

}  // namespace slatestall
