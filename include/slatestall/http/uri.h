#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief The value of the first parameter called `name` in a query string,
/// decoded; empty where the parameter stands without a value.
/// @ingroup http
std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name);

/// @brief Decodes `%XX` and `+`; a broken escape is kept as it stands.
std::string DecodeQueryText(std::string_view text);

}  // namespace slatestall
