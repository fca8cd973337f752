#pragma once

#include <optional>
#include <string>

#include "slatestall/model/load_report.h"

namespace slatestall {

/// @brief Reads the body of GET /load; nothing where it is none.
std::optional<load_report> LoadReportOf(const std::string& body,
                                        time_point received);

}  // namespace slatestall
