#include "slatestall/format_number.h"

#include <array>
#include <cstdio>

namespace slatestall {

std::string FormatNumber(double value, int digits) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", digits, value);  // NOLINT
  return text.data();
}

}  // namespace slatestall
