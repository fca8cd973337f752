#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What an endpoint last said of itself; always somewhat old.
/// @ingroup model
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;            ///< 0: not said.
  bool leaving = false;               ///< Takes no new work.
  std::vector<std::string> models;    ///< "name@version" loaded; engines only.
  std::vector<std::string> adapters;  ///< Engines only.
  time_point received{};              ///< When this host got it.

  friend bool operator==(const load_report&, const load_report&) = default;
};

}  // namespace slatestall
