#pragma once

#include <string_view>
#include <vector>

namespace slatestall {

/// @brief The items of a list as they stand, blanks and empty ones with them.
/// An empty text has none, and behind a last comma there is none.
inline std::vector<std::string_view> SplitAtCommas(std::string_view text) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    const auto comma = text.find(',');
    items.push_back(text.substr(0, comma));
    if (comma == std::string_view::npos) {
      break;
    }
    text.remove_prefix(comma + 1);
  }
  return items;
}

}  // namespace slatestall
