#pragma once

#include <algorithm>
#include <string_view>

namespace slatestall {

/// @brief Lower case of an ASCII letter, whatever the locale.
constexpr char AsciiLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return AsciiLower(x) == AsciiLower(y);
  });
}

}  // namespace slatestall
