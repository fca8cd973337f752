#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "slatestall/http/http_header.h"
#include "slatestall/model/told_load.h"
#include "slatestall/serve/lane_environment.h"

namespace slatestall {

/// @brief Reads "running/waiting/slots"; nothing where it is anything else.
std::optional<told_load> LoadInHeader(std::string_view text, time_point at);

/// @brief Passes on the load that an answer carries, if it does.
void TellLoad(const lane_environment& environment, const std::string& address,
              const http_headers& headers);

}  // namespace slatestall
