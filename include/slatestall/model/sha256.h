#pragma once

#include <string>
#include <string_view>

namespace slatestall {

/// @brief SHA-256 (FIPS 180-4) of `bytes` as 64 lowercase hexadecimal digits;
/// workspace keys are kept in this form only.
/// @ingroup model
std::string Sha256Hex(std::string_view bytes);

}  // namespace slatestall
