#pragma once

#include <string>
#include <vector>

namespace slatestall {

/// @brief One thing wrong with a file.
/// @ingroup config
struct config_problem {
  std::string file;
  int line = 0;      ///< From 1; 0 where the whole file is meant.
  int column = 0;    ///< From 1.
  std::string path;  ///< Field, e.g. "pipelines.faq-draft.stages[2].service".
  std::string message;
};

/// @brief "file:line:column: path: message".
std::string Describe(const config_problem& problem);

}  // namespace slatestall
