#pragma once

#include <cstddef>

namespace slatestall {

/// @brief What a cold endpoint bears, as the operator bounds it.
/// @ingroup dispatch
struct cold_terms {
  double factor = 1;  ///< On the rate that its service names.
  double extra = 0;   ///< Calls in a second on top.

  /// @brief Calls that it may get in any second from all hosts together.
  std::size_t CallsInASecond(double per_second) const;
};

}  // namespace slatestall
