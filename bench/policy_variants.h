#pragma once

#include <string>
#include <vector>

#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief A policy under comparison.
struct policy_variant {
  std::string name;
  traffic_policy_options options;
};

/// @brief Two plain balancers and the policy.
/// @param parts Also the policy with each mechanism off in turn.
std::vector<policy_variant> PolicyVariants(bool parts);

}  // namespace slatestall
