#pragma once

#include <string>
#include <vector>

#include "slatestall/config/config_problem.h"
#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief A pipeline file read whole; usable only without problems.
/// @ingroup config
struct parsed_configuration {
  configuration content;
  std::vector<config_problem> problems;

  bool Ok() const { return problems.empty(); }
};

/// @brief Parses and checks a pipeline file and reports every problem of it.
/// Never throws on bad input.
/// @param file Name used in problems.
parsed_configuration ParseConfiguration(const std::string& text,
                                        const std::string& file);

}  // namespace slatestall
