#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "slatestall/policy/claim_writer.h"

namespace slatestall {

/// @brief A record of a claim stream as JSON, since the log's answers are
/// JSON. Bodies that are not UTF-8 are written in hexadecimal.
/// @ingroup node
std::string EncodeClaims(const claim_batch& batch);

/// @brief Reverses `EncodeClaims`. Nothing where the payload is not a record;
/// fields of later releases are ignored.
std::optional<claim_batch> DecodeClaims(std::string_view payload);

}  // namespace slatestall
