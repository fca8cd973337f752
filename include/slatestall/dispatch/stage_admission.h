#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "slatestall/dispatch/request_digest.h"
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
  int rank = 0;                  ///< Of the request; 0 is most urgent.
  time_point due{};              ///< When its pieces are expected to come.
  time_point useful_by{};        ///< Made later, the answer is late.
  time_point worthless_after{};  ///< Made later, the deadline is missed.
};

/// @brief What a shard can do.
struct stage_capacity {
  double pieces_per_second = 0;  ///< With full calls, at all its endpoints.
  duration call_time{0};         ///< Of a full call.
  time_point opens_at{};         ///< No endpoint takes calls before.
};

enum class booking_verdict {
  kInTime,
  kLate,     ///< Within the deadline, but not the objective.
  kRefused,  ///< Not even that.
};

struct booking_answer {
  booking_verdict verdict = booking_verdict::kInTime;
  duration room_after{0};  ///< `kRefused`: when there may be room.
};

/// @brief Admits requests to a shard before anything is spent on them.
///
/// Answers bursts that ask for more than the endpoints of one stage can make,
/// for longer than deadlines last. What is known at the home decides: pieces
/// that wait, and pieces booked by requests that are still in their earlier
/// stages. Without the bookings the queue of a later stage is seen half a
/// second too late, and requests that have passed two stages die in the third.
/// Pure state; the time comes in.
class stage_admission {
 public:
  /// @param waiting_in_time Pieces queued now that can still be in time.
  /// @param waiting All pieces queued now.
  booking_answer Book(const stage_booking& booking,
                      const stage_capacity& capacity,
                      std::size_t waiting_in_time, std::size_t waiting,
                      time_point now);
  /// @brief Its pieces have come, or never will.
  /// @returns whether they were booked to be in time.
  bool Release(const std::string& request, unsigned stage);

  /// @brief What became of pieces that were booked to be in time and came in
  /// time.
  void NoteOutcome(std::size_t in_time, std::size_t late, time_point now);
  /// @brief Part of the told capacity that is counted on.
  double Confidence() const { return confidence_; }

  std::size_t Booked() const { return in_time_ + late_; }

 private:
  struct held {
    unsigned pieces = 0;
    bool in_time = true;
    time_point expires{};
  };
  using key = std::pair<std::string, unsigned>;

  void Expire(time_point now);
  void Drop(std::map<key, held>::iterator booking);

  std::map<key, held> held_;
  std::multimap<time_point, key> expiries_;
  double confidence_ = 1.0;
  std::size_t seen_in_time_ = 0;  ///< Since `judged_at_`.
  std::size_t seen_late_ = 0;
  time_point judged_at_{};
  std::size_t in_time_ = 0;  ///< Pieces booked to be in time.
  std::size_t late_ = 0;     ///< Pieces booked to be late.
};

}  // namespace slatestall
