#include "slatestall/dispatch/stage_admission.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Part of a full call by which a request of the next rank must be earlier.
/// Under overload the queue stays at the length at which the most urgent are
/// just admitted; that much less keeps the others from taking their places.
constexpr double kRankMarginPart = 0.29;
/// Full calls that a late request may be expected to wait, at most half of its
/// time: one that waits longer holds the results of its earlier stages, and
/// with them the room that others need.
constexpr int kLateCalls = 3;
/// The capacity that is counted on follows what becomes of bookings: want of
/// room, slow endpoints and pieces of unusual size all make it less than told.
/// Judged a few times a second; it falls within a second of an overload and
/// recovers within some seconds.
constexpr milliseconds kJudgeInterval{200};
constexpr std::size_t kFewestJudged = 20;
constexpr double kToleratedLate = 0.05;
constexpr double kFall = 0.92;
constexpr double kRise = 1.03;
constexpr double kLeastConfidence = 0.3;
constexpr double kMostConfidence = 1.1;
/// A booking whose pieces do not come is forgotten that long after they were
/// due: its request has ended at a host that could not say so.
constexpr milliseconds kBookingLife{1500};

duration Seconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

booking_answer stage_admission::Book(const stage_booking& booking,
                                     const stage_capacity& capacity,
                                     std::size_t waiting_in_time,
                                     std::size_t waiting, time_point now) {
  Expire(now);
  if (capacity.pieces_per_second <= 0) {
    return {booking_verdict::kRefused, capacity.call_time};
  }
  const auto start = [&](std::size_t ahead) {
    const duration busy = Seconds(static_cast<double>(ahead) /
                                  (capacity.pieces_per_second * confidence_));
    return std::max(booking.due, std::max(now, capacity.opens_at) + busy);
  };
  booking_answer answer;
  const time_point in_time =
      start(waiting_in_time + in_time_) + capacity.call_time;
  const time_point limit =
      booking.useful_by -
      Scaled(capacity.call_time, kRankMarginPart * booking.rank);
  if (in_time > limit) {
    const time_point late = start(waiting + Booked()) + capacity.call_time;
    const duration patience =
        std::min<duration>((booking.worthless_after - booking.due) / 2,
                           capacity.call_time * kLateCalls);
    const auto most = booking.due + patience;
    if (late > most) {
      return {booking_verdict::kRefused,
              std::max(in_time - limit, capacity.opens_at - now)};
    }
    answer.verdict = booking_verdict::kLate;
  }
  const key name{booking.request, booking.stage};
  Release(booking.request, booking.stage);
  const bool is_in_time = answer.verdict == booking_verdict::kInTime;
  const time_point expires = booking.due + kBookingLife;
  held_[name] = {booking.pieces, is_in_time, expires};
  expiries_.emplace(expires, name);
  (is_in_time ? in_time_ : late_) += booking.pieces;
  return answer;
}

bool stage_admission::Release(const std::string& request, unsigned stage) {
  const auto found = held_.find({request, stage});
  if (found == held_.end()) {
    return false;
  }
  const bool in_time = found->second.in_time;
  Drop(found);
  return in_time;
}

void stage_admission::NoteOutcome(std::size_t in_time, std::size_t late,
                                  time_point now) {
  seen_in_time_ += in_time;
  seen_late_ += late;
  const std::size_t seen = seen_in_time_ + seen_late_;
  if (now - judged_at_ < kJudgeInterval || seen < kFewestJudged) {
    return;
  }
  const double late_share =
      static_cast<double>(seen_late_) / static_cast<double>(seen);
  confidence_ *= late_share > kToleratedLate ? kFall : kRise;
  confidence_ = std::clamp(confidence_, kLeastConfidence, kMostConfidence);
  seen_in_time_ = 0;
  seen_late_ = 0;
  judged_at_ = now;
}

void stage_admission::Drop(std::map<key, held>::iterator booking) {
  auto& sum = booking->second.in_time ? in_time_ : late_;
  sum -= std::min<std::size_t>(sum, booking->second.pieces);
  held_.erase(booking);
}

void stage_admission::Expire(time_point now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const auto found = held_.find(expiries_.begin()->second);
    // Released and booked anew, it has a later expiry of its own.
    if (found != held_.end() && found->second.expires <= now) {
      Drop(found);
    }
    expiries_.erase(expiries_.begin());
  }
}

}  // namespace slatestall
