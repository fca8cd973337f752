#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace slatestall {

inline constexpr const char* kNameRule =
    "letters, digits, '.', '_' and '-', first a letter or digit, at most 64";

/// @brief Whether `text` can name a thing, see `kNameRule`.
bool IsName(std::string_view text);

/// @brief `text` cut to a length that fits a message, free of control
/// characters.
std::string Shortened(std::string_view text);

/// @brief `Shortened` in single quotes.
std::string Quoted(std::string_view text);

/// @brief "a, b, c".
std::string Listed(const std::vector<std::string>& texts);

/// @brief What is wrong with "IP:port", or nothing. IPv6 in brackets.
/// @param port_needed Whether port 0 (any free port) is refused.
std::string AddressProblem(std::string_view text, bool port_needed);

/// @brief What is wrong with "http://IP:port", or nothing.
std::string UrlProblem(std::string_view text);

/// @brief Whether `text` is 64 lowercase hexadecimal digits.
bool IsDigest(std::string_view text);

}  // namespace slatestall
