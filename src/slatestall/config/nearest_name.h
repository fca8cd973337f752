#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace slatestall {

/// @brief The one of `known` that `name` was most likely meant to be, or an
/// empty string where none is near.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known);

/// @brief "; did you mean 'x'?" or nothing.
std::string Suggestion(std::string_view name,
                       const std::vector<std::string>& known);

}  // namespace slatestall
