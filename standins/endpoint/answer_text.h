#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief The first "marker:NAME" in `text`, without "marker:"; empty where
/// there is none.
std::string FirstMarker(std::string_view text);

/// @brief All distinct markers in `text`.
std::set<std::string> AllMarkers(std::string_view text);

/// @brief What every answer to `text` is computed from: its first marker, so
/// that a caller can recompute the answer without knowing how a pipeline
/// words the prompt, or the text itself where it has no marker.
std::string AnswerKey(std::string_view text);

/// @brief Token `index` of the answer to a prompt with this key.
std::string TokenText(std::string_view answer_key, std::uint32_t index);

/// @brief Number of tokens of that answer: from half of `max_tokens` to all.
std::uint32_t AnswerLength(std::string_view answer_key,
                           std::uint32_t max_tokens);

/// @brief The whole answer.
std::string AnswerText(std::string_view answer_key, std::uint32_t max_tokens);

/// @brief "stop", or "length" where the answer was cut at `max_tokens`.
std::string_view FinishReason(std::uint32_t length, std::uint32_t max_tokens);

}  // namespace slatestall
