#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief When a host may read the store although others are to read it for
/// all: each at a moment of its own, so that a fleet of any size that has lost
/// its readers sends some two hundred calls a second and no flood. Pure state;
/// the time comes in.
/// @ingroup dispatch
class store_turns {
 public:
  explicit store_turns(std::uint64_t seed) : random_(seed) {}

  /// @param hosts Of the fleet.
  /// @returns whether this host's turn has come; the next is drawn then.
  bool Take(std::size_t hosts, time_point now);

 private:
  time_point Draw(duration period, time_point now);

  std::mt19937_64 random_;
  time_point next_{};
};

}  // namespace slatestall
