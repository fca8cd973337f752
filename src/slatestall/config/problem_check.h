#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "slatestall/config/config_problem.h"

namespace slatestall {

/// @brief Whether a person finds what each problem of `file` is about: all
/// have a text and a line, but for those that are about the file as a whole.
inline bool AllSayWhere(const std::vector<config_problem>& problems,
                        const std::string& file) {
  return std::all_of(
      problems.begin(), problems.end(), [&](const config_problem& problem) {
        const bool is_whole = problem.message.starts_with("the file has ") ||
                              problem.message.starts_with("and ");
        const bool has_place = problem.line > 0 && problem.column > 0;
        return !problem.message.empty() &&
               (has_place || is_whole || problem.file != file);
      });
}

}  // namespace slatestall
