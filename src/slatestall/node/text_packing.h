#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace slatestall {

/// Longest text that is packed or unpacked, in bytes.
inline constexpr std::size_t kMaxPackedText = std::size_t{4} << 20U;

/// @brief The text as a zlib stream in base64. Empty where that is not shorter
/// or the text is too long.
std::string PackText(std::string_view text);

/// @brief The text that `PackText` was given; nothing where `packed` is not
/// its result. Every host comes to the same.
std::optional<std::string> UnpackText(std::string_view packed);

}  // namespace slatestall
