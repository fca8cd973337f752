#pragma once

#include <optional>
#include <string>

#include "slatestall/model/load_report.h"

namespace slatestall {

/// @brief An answer to GET /load.
struct polled_load {
  load_report load;
  std::string version;  ///< Names what was reported; empty: not said.
  std::string cache;    ///< Cache events as JSON; empty: none.
};

/// @brief Reads the body of GET /load; nothing where it is none.
/// @param asked When the question was sent. The report counts as of then, less
/// the age that it tells.
std::optional<polled_load> PolledLoadOf(const std::string& body,
                                        time_point asked);

}  // namespace slatestall
