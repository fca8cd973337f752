#pragma once

#include <string>

namespace slatestall {

/// @brief `value` with a fixed number of digits after the point.
std::string FormatNumber(double value, int digits);

}  // namespace slatestall
