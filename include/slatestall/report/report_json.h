#pragma once

#include <nlohmann/json_fwd.hpp>

#include "slatestall/report/report_data.h"

namespace slatestall {

/// @brief Body of GET /v1/admin/report; `ReportFromJson` reads it back.
/// @ingroup report
nlohmann::json ReportToJson(const report_data& report);

/// @throws std::invalid_argument where the JSON is no report of this release.
report_data ReportFromJson(const nlohmann::json& json);

}  // namespace slatestall
