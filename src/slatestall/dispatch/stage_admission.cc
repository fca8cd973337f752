#include "slatestall/dispatch/stage_admission.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Time by which a request of the next rank must be earlier. Under overload
/// the queue stays at the length at which the most urgent are just admitted;
/// a third of a call less keeps the others from taking their places.
constexpr milliseconds kRankMargin{80};
/// Part of the time until the deadline that a late request may be expected to
/// wait: later arrivals that can be in time go before it.
constexpr double kLatePart = 0.5;
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
    const duration busy =
        Seconds(static_cast<double>(ahead) / capacity.pieces_per_second);
    return std::max(booking.due, now + busy);
  };
  booking_answer answer;
  const time_point in_time =
      start(waiting_in_time + in_time_) + capacity.call_time;
  const time_point limit = booking.useful_by - kRankMargin * booking.rank;
  if (in_time > limit) {
    const time_point late = start(waiting + Booked()) + capacity.call_time;
    const duration patience = booking.worthless_after - booking.due;
    const auto most =
        booking.due + duration(static_cast<duration::rep>(
                          kLatePart * static_cast<double>(patience.count())));
    if (late > most) {
      return {booking_verdict::kRefused, in_time - limit};
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

void stage_admission::Release(const std::string& request, unsigned stage) {
  const auto found = held_.find({request, stage});
  if (found != held_.end()) {
    Drop(found);
  }
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
