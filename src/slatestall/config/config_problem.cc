#include "slatestall/config/config_problem.h"

namespace slatestall {

std::string Describe(const config_problem& problem) {
  std::string text = problem.file;
  if (problem.line > 0) {
    text += ":" + std::to_string(problem.line) + ":" +
            std::to_string(problem.column);
  }
  text += ": ";
  if (!problem.path.empty()) {
    text += problem.path + ": ";
  }
  return text + problem.message;
}

}  // namespace slatestall
