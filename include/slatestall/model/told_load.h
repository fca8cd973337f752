#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Load that an endpoint told with an answer to a call.
/// @ingroup model
struct told_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;  ///< 0: not said.
  time_point at{};          ///< When the answer began to arrive.
  /// How long work takes on the endpoint's machine now, against what is usual
  /// (1.0). Not set: not said.
  std::optional<double> pace{};
};

/// @brief Reads running, waiting, slots and, where there is a fourth figure,
/// the pace in per cent.
///
/// A fourth figure that is no whole number from 1 to 100,000 is ignored, and so
/// is whatever follows it: the load is worth having without them.
/// @returns nothing where one of the first three is missing, no whole number or
/// above 1,000,000.
std::optional<told_load> LoadFrom(const std::vector<std::string_view>& figures,
                                  time_point at);

}  // namespace slatestall
