#pragma once

#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "slatestall/console.h"

namespace slatestall {

/// @brief Hands each log to `read`; "-" is standard input.
/// @returns false, after saying so, where one cannot be read.
inline bool ReadLogs(const std::vector<std::string>& files,
                     const std::function<void(std::istream&)>& read) {
  for (const auto& file : files) {
    if (file == "-") {
      read(std::cin);
      continue;
    }
    std::ifstream log(file);
    if (!log.is_open()) {
      PrintError(file + ": cannot be read");
      return false;
    }
    read(log);
  }
  return true;
}

}  // namespace slatestall
