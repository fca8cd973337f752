#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief The bytes in base64 without padding.
std::string Base64(std::string_view bytes);

/// @brief The bytes that `Base64` was given; nothing where a symbol is not of
/// its alphabet.
std::optional<std::string> BytesOfBase64(std::string_view base64);

}  // namespace slatestall
