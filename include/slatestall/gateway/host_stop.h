#pragma once

#include <algorithm>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A planned stop of this host, from the moment it was told, and what it
/// may still take.
///
/// A request taken while its host stops ends with the host: one that needs
/// longer is cut in the middle of its answer. It is refused instead, as not
/// run, and its caller is served elsewhere a moment later.
/// @ingroup gateway
struct host_stop {
  /// Left of the time for a stop: the platform's clock began before this
  /// host's, and last bytes are on their way after the answer's end.
  static constexpr milliseconds kReserve{700};

  time_point told_at{};
  /// Nothing is taken that may be under way later.
  time_point last_answer_by{};
  /// The balancer knows, and new callers are sent elsewhere.
  bool balancer_knows = false;

  /// @brief A stop that began at `now` and may take `grace`.
  static host_stop Begin(time_point now, milliseconds grace) {
    const auto serving = std::max(milliseconds(0), grace - kReserve);
    return {now, now + serving, false};
  }

  /// @brief Whether a request may be taken.
  /// @param deadline The request has ended by then, served or not.
  /// @param likely_end When answers of its route end at the latest, as seen.
  bool Allows(time_point deadline, time_point likely_end) const;
};

}  // namespace slatestall
