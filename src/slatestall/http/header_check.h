#pragma once

#include <string_view>

#include "slatestall/http/http_header.h"

namespace slatestall {

/// @brief Whether every name and value can stand in a message head. A line
/// break in a value copied from a caller would otherwise start a header, or a
/// whole message, of the caller's choosing.
bool HeadersAreSafe(const http_headers& headers);

/// @brief Whether the character ends a field, or is taken for its end.
bool BreaksTheLine(char c);

/// @brief Whether the text can stand in a request line.
bool IsToken(std::string_view text);

}  // namespace slatestall
