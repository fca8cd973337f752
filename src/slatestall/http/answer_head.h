#pragma once

#include <optional>
#include <string_view>

#include "slatestall/http/http_header.h"

namespace slatestall {

// What the head of an HTTP/1 answer may say, for all readers of answers (RFC
// 9112). Two readers that disagree on a head disagree on where its answer ends.

/// @brief The status in a first line, without its line end; nothing where that
/// is none or the status is not of three digits from 100 to 599.
std::optional<int> StatusOf(std::string_view first_line);

/// @brief Whether another answer follows.
bool IsInterimStatus(int status);

/// @brief Whether an answer has no body, whatever its fields say.
bool HasNoBody(int status);

/// @brief Whether the fields of any message tell its length in one way at most.
bool FramingIsPlain(const http_headers& headers);

/// @brief Whether an answer of that status may have these fields: their names
/// are tokens, and all that they tell of its length agrees.
bool IsAnswerHead(int status, const http_headers& headers);

}  // namespace slatestall
