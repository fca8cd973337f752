#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief Codes bytes in fewer bits, the more expected each is after the one
/// before it. Integers only: the same on every host.
std::string CodeBytes(std::string_view bytes);

/// @brief The `length` bytes that `CodeBytes` was given; nothing where `coded`
/// ends before them. Bytes that were never coded give others, not an error.
std::optional<std::string> DecodeBytes(std::string_view coded,
                                       std::size_t length);

}  // namespace slatestall
