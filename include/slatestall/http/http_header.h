#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace slatestall {

/// @brief One HTTP header field.
/// @ingroup http
struct http_header {
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

/// @brief The value of the first field called `name`, case-insensitively, or
/// an empty view.
std::string_view FindHeader(const http_headers& headers, std::string_view name);

}  // namespace slatestall
