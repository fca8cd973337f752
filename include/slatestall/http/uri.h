#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace slatestall {

/// @brief The value of the first parameter called `name` in a query string,
/// decoded; empty where the parameter stands without a value.
/// @ingroup http
std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name);

/// @brief Names and values of a query, not yet encoded.
using query_fields = std::vector<std::pair<std::string_view, std::string>>;

/// @brief `url` with a query of these fields, each encoded.
std::string UrlWithQuery(std::string url, const query_fields& fields);

/// @brief Text as one part of a path or query: every byte but the unreserved
/// characters of RFC 3986 (2.3) as `%XX`.
std::string EncodeUriText(std::string_view text);

/// @brief Decodes `%XX` and `+`; a broken escape is kept as it stands.
std::string DecodeQueryText(std::string_view text);

}  // namespace slatestall
