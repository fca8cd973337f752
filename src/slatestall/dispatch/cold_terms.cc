#include "slatestall/dispatch/cold_terms.h"

#include <algorithm>
#include <cmath>

namespace slatestall {

std::size_t cold_terms::CallsInASecond(double per_second) const {
  return static_cast<std::size_t>(
      std::floor(std::max(0.0, per_second * factor + extra)));
}

}  // namespace slatestall
