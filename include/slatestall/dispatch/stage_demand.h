#pragma once

#include <cstdint>
#include <map>

#include "slatestall/dispatch/decaying_sum.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Work that each kind has asked of a shard of late, and got in time.
///
/// Pure state; the time comes in. A few dozen kinds are known; what is asked
/// least gives way to new ones.
/// @ingroup dispatch
class stage_demand {
 public:
  /// @param horizon From now until the work is due, as the queue ranks it.
  void NoteAsked(std::uint64_t kind, int rank, duration work, duration horizon,
                 time_point now);
  /// @brief The work was admitted to be in time.
  void NoteAdmitted(std::uint64_t kind, duration work, time_point now);

  /// @brief Work of more urgent ranks that is expected to come from now on and
  /// to be due before `due`.
  duration ExpectedBefore(time_point due, int rank, time_point now) const;
  /// @brief Whether the kind is admitted less than half as often as all are.
  bool IsStarved(std::uint64_t kind, time_point now) const;
  bool AnyStarved(time_point now) const;
  /// @brief Whether the kind is admitted more often than all are.
  bool IsFavoured(std::uint64_t kind, time_point now) const;

 private:
  /// Bursts last for some seconds; the demand of a kind is known within one.
  static constexpr milliseconds kMemory{2000};

  struct kind_demand {
    int rank = 0;
    duration horizon{0};
    decaying_sum asked{kMemory};     ///< Seconds of work.
    decaying_sum admitted{kMemory};  ///< Seconds of work, in time.
  };

  void MakeRoom(time_point now);
  double Ratio(const kind_demand& one, time_point now) const;
  double RatioOfAll(time_point now) const;
  bool IsStarved(const kind_demand& one, double ratio_of_all,
                 time_point now) const;

  std::map<std::uint64_t, kind_demand> kinds_;
  decaying_sum asked_{kMemory};
  decaying_sum admitted_{kMemory};
};

}  // namespace slatestall
