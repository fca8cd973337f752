#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/request_digest.h"
#include "slatestall/dispatch/stage_demand.h"
#include "slatestall/model/name_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What a request asks of one shard of a stage service.
/// @ingroup dispatch
struct stage_booking {
  std::string request;
  request_digest content = 0;  ///< Of the request; 0: not known.
  std::string workspace;       ///< Empty: none.
  std::uint64_t kind = 0;      ///< Stage of a route; equal ones cost alike.
  unsigned stage = 0;
  unsigned pieces = 0;
  duration work{0};              ///< Time of one endpoint that they take.
  bool is_over_share = false;    ///< Its workspace leaves room to others.
  int rank = 0;                  ///< Of the request; 0 is most urgent.
  time_point due{};              ///< When its pieces are expected to come.
  time_point useful_by{};        ///< Made later, the answer is late.
  time_point worthless_after{};  ///< Made later, the deadline is missed.
};

/// @brief What a shard can do.
struct stage_capacity {
  double calls = 0;       ///< That run side by side, at all its endpoints.
  duration call_time{0};  ///< Of a full call.
  time_point opens_at{};  ///< No endpoint takes calls before.
};

/// @brief Work of one request that waits for a call and can be in time.
struct waiting_work {
  time_point useful_by{};
  int rank = 0;
  duration work{0};
};

/// @brief What waits for calls at a shard.
struct stage_backlog {
  std::vector<waiting_work> in_time;  ///< In any order.
  duration late{0};                   ///< Work that will be late.
};

enum class booking_verdict {
  kInTime,
  kLate,     ///< Within the deadline, but not the objective.
  kRefused,  ///< Not even that.
};

inline constexpr name_table<booking_verdict, 3> kBookingVerdictNames{{
    {booking_verdict::kInTime, "in_time"},
    {booking_verdict::kLate, "late"},
    {booking_verdict::kRefused, "refused"},
}};

struct booking_answer {
  booking_verdict verdict = booking_verdict::kInTime;
  duration room_after{0};  ///< `kRefused`: when there may be room.
  duration ahead{0};       ///< Work that was counted as served before.
  duration reserved{0};    ///< Part of it that has not been asked for yet.
  bool fits_idle = true;   ///< It would be in time if there were no other work.
};

/// @brief A booking that is no longer held.
struct released_booking {
  bool in_time = false;  ///< It was booked to be in time.
  std::string workspace;
  duration work{0};
};

/// @brief What counts as ahead of a booking.
enum class admission_order {
  kArrival,  ///< All that is booked or waits.
  kDueTime,  ///< What the queue serves first.
};

/// @brief Admits requests to a shard before anything is spent on them.
///
/// Answers bursts that ask for more than the endpoints of one stage can make,
/// for longer than deadlines last. What is known at the home decides: work
/// that waits, and work booked by requests that are still in their earlier
/// stages. Without the bookings the queue of a later stage is seen half a
/// second too late, and requests that have passed two stages die in the third.
///
/// By due time a booking is in time if what the queue serves before it leaves
/// it in time, and if it makes nothing late that was admitted and is as urgent.
/// A kind with a loose objective then fills no place that a tight one needs.
/// What more urgent kinds are going to ask is kept free for them. Kinds that
/// are admitted far less often than others are given room by these.
/// Pure state; the time comes in.
class stage_admission {
 public:
  explicit stage_admission(admission_order order = admission_order::kDueTime)
      : order_(order) {}

  booking_answer Book(const stage_booking& booking,
                      const stage_capacity& capacity,
                      const stage_backlog& waiting, time_point now);
  /// @brief Its pieces have come, or never will.
  /// @returns nothing where it is not held.
  std::optional<released_booking> Release(const std::string& request,
                                          unsigned stage);

  /// @brief What became of pieces that were booked to be in time and came in
  /// time.
  void NoteOutcome(std::size_t in_time, std::size_t late, time_point now);
  /// @brief Part of the told capacity that is counted on.
  double Confidence() const { return confidence_; }

  std::size_t Booked() const { return pieces_; }  ///< Pieces.

 private:
  struct held {
    unsigned pieces = 0;
    std::string workspace;
    duration work{0};
    bool in_time = true;
    time_point ranked_at{};  ///< Where the queue ranks it.
    time_point expires{};
  };
  using key = std::pair<std::string, unsigned>;
  /// Admitted work by the time at which the queue ranks it.
  struct ranked_work {
    time_point ranked_at{};
    time_point useful_by{};
    time_point due{};
    int rank = 0;
    duration work{0};
    std::uint64_t booking = 0;  ///< Digest of its key; 0: it waits.
  };
  /// Room that a booking finds.
  struct finding {
    duration ahead{0};
    duration reserved{0};
    duration lacks{0};  ///< Above zero: it would be so much too late, or make
                        ///< others so.
  };

  /// What an idle shard could not make in time is no demand for its room: its
  /// refusal says nothing of other work, and no other work can help it.
  static bool FitsIdle(const stage_booking& booking,
                       const stage_capacity& capacity, time_point now);
  finding FindByArrival(const stage_booking& booking,
                        const stage_capacity& capacity,
                        const stage_backlog& waiting, time_point now) const;
  finding FindByDueTime(const stage_booking& booking,
                        const stage_capacity& capacity,
                        const stage_backlog& waiting, time_point now) const;
  bool MayBeLate(const stage_booking& booking, const stage_capacity& capacity,
                 const stage_backlog& waiting, time_point now) const;
  void Hold(const stage_booking& booking, bool in_time, duration call_time,
            time_point now);
  void Expire(time_point now);
  void Drop(std::map<key, held>::iterator booking);

  admission_order order_;
  std::map<key, held> held_;
  std::vector<ranked_work> ranked_;  ///< In time, by `ranked_at`.
  std::multimap<time_point, key> expiries_;
  stage_demand demand_;
  double confidence_ = 1.0;
  std::size_t seen_in_time_ = 0;  ///< Since `judged_at_`.
  std::size_t seen_late_ = 0;
  time_point judged_at_{};
  std::size_t pieces_ = 0;  ///< Of all bookings.
  duration in_time_{0};     ///< Work booked to be in time.
  duration late_{0};        ///< Work booked to be late.
};

}  // namespace slatestall
