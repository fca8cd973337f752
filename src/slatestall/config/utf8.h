#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace slatestall {

/// @brief Offset of the first byte that is not part of well-formed UTF-8 or is
/// a NUL, or nothing.
std::optional<std::size_t> FirstBadByte(std::string_view text);

}  // namespace slatestall
