#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>

namespace slatestall {

/// @brief The regions in which a request may be worked on.
/// @ingroup model
struct region_limit {
  std::optional<std::set<std::string>> allowed;  ///< Nothing: all of them.

  /// @param region Empty where it is not known, which only no limit allows.
  bool Allows(const std::string& region) const {
    return !allowed || allowed->contains(region);
  }

  /// @brief What both of two limits allow.
  region_limit And(const region_limit& other) const {
    if (!allowed || !other.allowed) {
      return allowed ? *this : other;
    }
    region_limit both;
    both.allowed.emplace();
    std::set_intersection(allowed->begin(), allowed->end(),
                          other.allowed->begin(), other.allowed->end(),
                          std::inserter(*both.allowed, both.allowed->end()));
    return both;
  }

  friend bool operator==(const region_limit&, const region_limit&) = default;
};

}  // namespace slatestall
