#pragma once

#include <string>
#include <vector>

#include "slatestall/config/config_problem.h"
#include "slatestall/config/field_reference.h"
#include "slatestall/gateway/gateway_options.h"

namespace slatestall {

struct loaded_gateway_settings {
  gateway_options content;
  std::vector<config_problem> problems;  ///< All of them; empty: all is well.
};

/// @brief Reads the settings file of a gateway host (YAML) and checks it.
/// @ingroup gateway
loaded_gateway_settings LoadGatewaySettings(const std::string& file);

/// @brief All fields of the file, for the reference.
field_section GatewaySettingsReference();

/// @brief The same from text; `file` is what problems name.
loaded_gateway_settings ReadGatewaySettings(const std::string& text,
                                            const std::string& file);

}  // namespace slatestall
