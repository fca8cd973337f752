#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace slatestall {

/// @brief One row of a table that names the values of an enumeration.
/// @ingroup model
template <typename Enum>
struct name_entry {
  Enum value;
  std::string_view name;
};

template <typename Enum, std::size_t N>
using name_table = std::array<name_entry<Enum>, N>;

/// @brief The name of `value`, or "unknown" where the table lacks it.
template <typename Enum, std::size_t N>
constexpr std::string_view NameIn(const name_table<Enum, N>& table,
                                  Enum value) {
  for (const auto& entry : table) {
    if (entry.value == value) {
      return entry.name;
    }
  }
  return "unknown";
}

/// @brief The value called `name`, or nothing.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> ValueIn(const name_table<Enum, N>& table,
                                      std::string_view name) {
  for (const auto& entry : table) {
    if (entry.name == name) {
      return entry.value;
    }
  }
  return std::nullopt;
}

}  // namespace slatestall
