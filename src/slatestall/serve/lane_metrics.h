#pragma once

#include <string>

#include "slatestall/serve/lane_counters.h"

namespace slatestall {

/// @brief A lane's counters as Prometheus text.
std::string LaneMetricsText(const lane_counters& counters);

}  // namespace slatestall
