#pragma once

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
  /// For the last bytes of answers: before what is left is refused, and again
  /// before the process ends. Twice this is less than the reserve.
  static constexpr milliseconds kLastBytes{300};
  /// Left of the balancer's lag: a busy host hears late that it is to stop, and
  /// the balancer's two questions, a second apart, are over before.
  static constexpr milliseconds kLagReserve{500};

  time_point told_at{};
  /// Until then most callers come from a balancer that does not know.
  time_point likely_until{};
  /// Nothing is taken that may be under way later.
  time_point last_answer_by{};
  bool takes_none = false;

  /// @brief A stop that began at `now`.
  /// @param grace What it may take in all.
  /// @param balancer_lag How long the balancer may still send callers.
  static host_stop Begin(time_point now, milliseconds grace,
                         milliseconds balancer_lag);

  /// @brief How long answers are waited for once no connection is taken.
  static milliseconds AnswerTime(milliseconds grace, milliseconds balancer_lag);

  /// @brief Whether a request may be taken.
  /// @param deadline The request has ended by then, served or not.
  /// @param likely_end When answers of its route end at the latest, as seen.
  bool Allows(time_point now, time_point deadline, time_point likely_end) const;
};

}  // namespace slatestall
