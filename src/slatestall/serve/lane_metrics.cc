#include "slatestall/serve/lane_metrics.h"

namespace slatestall {

std::string LaneMetricsText(const lane_counters& counters) {
  std::string text;
  for (const auto& entry : kLaneEventNames) {
    const std::string name = "slatestall_" + std::string(entry.name) + "_total";
    text += "# TYPE " + name + " counter\n";
    text += name + " " + std::to_string(counters.Value(entry.value)) + "\n";
  }
  return text;
}

}  // namespace slatestall
