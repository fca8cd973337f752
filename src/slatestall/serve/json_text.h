#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief Bytes of the UTF-8 character that `text` begins with; 0 where it is
/// not a whole, shortest-form one. `text` must not be empty.
std::size_t Utf8CharacterBytes(std::string_view text);

/// @brief Appends `text` as a JSON string, quotes included, byte for byte as
/// `DumpJson` would.
/// @returns false, with `out` unchanged, where `text` is not UTF-8.
bool AppendJsonString(std::string& out, std::string_view text);

}  // namespace slatestall
