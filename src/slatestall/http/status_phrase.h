#pragma once

#include <string_view>

namespace slatestall {

/// @brief The reason phrase of an HTTP status, or "Status" for one unlisted.
std::string_view StatusPhrase(int status);

}  // namespace slatestall
