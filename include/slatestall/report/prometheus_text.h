#pragma once

#include <string>

#include "slatestall/report/report_data.h"

namespace slatestall {

/// @brief Prometheus text exposition (format 0.0.4) of the counters.
/// @ingroup report
std::string WritePrometheus(const report_data& report);

}  // namespace slatestall
