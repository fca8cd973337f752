#pragma once

#include <string_view>

namespace slatestall {

/// @brief The text without blanks and line ends around it.
inline std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r\n";
  const auto first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

}  // namespace slatestall
