#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief The fields of an event of tokens.
struct scanned_event {
  std::string_view id;  ///< Into the data scanned.
  std::uint64_t offset = 0;
  std::uint64_t count = 0;
  std::string text;
};

/// @brief Reads an event of tokens without building a JSON document.
///
/// Takes only an object of exactly `id`, `offset`, `count` and `text`, each
/// once and in any order, whose id has no escapes, whose numbers are plain and
/// of at most 15 digits, and whose text has no `\u` escape.
/// @returns nothing for all else, right or wrong: the JSON parser decides.
std::optional<scanned_event> ScanTokenEvent(std::string_view data);

}  // namespace slatestall
