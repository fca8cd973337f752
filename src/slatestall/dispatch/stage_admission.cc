#include "slatestall/dispatch/stage_admission.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>

#include "slatestall/dispatch/piece_queue.h"
#include "slatestall/model/ids.h"

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
/// Longer than any request takes; bounds how long a booking with a wrong due
/// time is held.
constexpr std::chrono::minutes kMostLead{2};

time_point RankedAt(time_point useful_by, int rank, duration call_time) {
  return useful_by + RankStep(call_time) * rank;
}

std::uint64_t KeyDigest(const std::string& request, unsigned stage) {
  return StableHash(request, stage) | 1U;
}

/// A booking that gives way leaves a full call of room to others.
time_point LimitOf(const stage_booking& booking, duration call_time,
                   bool gives_way) {
  return booking.useful_by - (gives_way ? call_time : duration(0));
}

/// Bookings are told apart by when they are due in steps of this.
constexpr milliseconds kDueStep{100};
constexpr std::size_t kDueSteps = 12;

/// When work ends that is served after `ahead` of other work.
class service_time {
 public:
  service_time(const stage_capacity& capacity, double confidence,
               time_point now)
      : from_(std::max(now, capacity.opens_at)),
        calls_(capacity.calls * confidence),
        call_time_(capacity.call_time) {}

  time_point EndAfter(duration ahead) const { return EndAfter(ahead, from_); }
  /// @param from No part of `ahead` is there before.
  time_point EndAfter(duration ahead, time_point from) const {
    return std::max(from, from_) + Scaled(ahead, 1.0 / calls_) + call_time_;
  }
  /// @brief Ticks that the work takes at the shard's capacity.
  double TimeOf(duration work) const {
    return static_cast<double>(work.count()) / calls_;
  }

 private:
  time_point from_;
  double calls_;
  duration call_time_;
};

/// Work by the time at which it is due. What comes later cannot be done before,
/// however idle the shard is until then.
class due_profile {
 public:
  due_profile(const service_time& service, time_point now)
      : service_(service), now_(now) {}

  // The ends are computed once, when first needed, and updated from then on:
  // computing them for each booking held would take most of a booking's time.
  void Add(time_point due, duration work) {
    const std::size_t step = StepOf(due);
    if (!has_ends_) {
      steps_[step] += work;
      return;
    }
    for (; used_ <= step; ++used_) {
      ends_[used_] = StartOf(used_);
    }
    const double time = service_.TimeOf(work);
    for (std::size_t earlier = 0; earlier <= step; ++earlier) {
      ends_[earlier] += time;
    }
  }
  /// @brief Whether all of it can have ended by then.
  bool EndsBy(time_point limit) { return LastEnd() <= Since(limit); }
  /// @brief When all of it can have ended.
  time_point End() {
    const double last = LastEnd();
    return used_ == 0 ? time_point{}
                      : now_ + duration(static_cast<duration::rep>(last));
  }

 private:
  double Since(time_point at) const {
    return static_cast<double>((at - now_).count());
  }
  /// Of a call with what is due in a step, on an idle shard.
  double StartOf(std::size_t step) const {
    const auto since = kDueStep * static_cast<duration::rep>(step);
    return Since(service_.EndAfter(duration(0), now_ + since));
  }
  double LastEnd() {
    if (!has_ends_) {
      FindEnds();
    }
    return used_ == 0 ? std::numeric_limits<double>::lowest()
                      : *std::max_element(
                            ends_.begin(),
                            ends_.begin() + static_cast<std::ptrdiff_t>(used_));
  }
  void FindEnds() {
    duration later(0);
    for (std::size_t step = kDueSteps; step-- > 0;) {
      later += steps_[step];
      if (later > duration(0)) {
        used_ = std::max(used_, step + 1);
        ends_[step] = StartOf(step) + service_.TimeOf(later);
      }
    }
    has_ends_ = true;
  }
  std::size_t StepOf(time_point due) const {
    const auto step = std::max<duration>(duration(0), due - now_) / kDueStep;
    return std::min(static_cast<std::size_t>(step), kDueSteps - 1);
  }

  service_time service_;
  time_point now_;
  std::array<duration, kDueSteps> steps_{};  ///< Until `has_ends_`.
  /// By step, when the work from then on ends; ticks from now.
  std::array<double, kDueSteps> ends_{};
  std::size_t used_ = 0;  ///< Steps up to the last one that has work.
  bool has_ends_ = false;
};

}  // namespace

booking_answer stage_admission::Book(const stage_booking& booking,
                                     const stage_capacity& capacity,
                                     const stage_backlog& waiting,
                                     time_point now) {
  Expire(now);
  if (capacity.calls <= 0) {
    return {booking_verdict::kRefused, capacity.call_time};
  }
  // Booked anew, it does not compete with itself.
  Release(booking.request, booking.stage);
  booking_answer answer;
  answer.fits_idle = FitsIdle(booking, capacity, now);
  if (answer.fits_idle) {
    const time_point ranked_at =
        RankedAt(booking.useful_by, booking.rank, capacity.call_time);
    demand_.NoteAsked(booking.kind, booking.rank, booking.work, ranked_at - now,
                      now);
  }
  const auto found = order_ == admission_order::kArrival
                         ? FindByArrival(booking, capacity, waiting, now)
                         : FindByDueTime(booking, capacity, waiting, now);
  answer.ahead = found.ahead;
  answer.reserved = found.reserved;
  if (found.lacks > duration(0)) {
    if (!MayBeLate(booking, capacity, waiting, now)) {
      answer.verdict = booking_verdict::kRefused;
      answer.room_after = std::max(found.lacks, capacity.opens_at - now);
      return answer;
    }
    answer.verdict = booking_verdict::kLate;
  }
  const bool in_time = answer.verdict == booking_verdict::kInTime;
  if (in_time) {
    demand_.NoteAdmitted(booking.kind, booking.work, now);
  }
  Hold(booking, in_time, capacity.call_time, now);
  return answer;
}

bool stage_admission::FitsIdle(const stage_booking& booking,
                               const stage_capacity& capacity, time_point now) {
  stage_capacity open = capacity;
  open.opens_at = now;
  due_profile own(service_time(open, kMostConfidence, now), now);
  own.Add(booking.due, booking.work);
  return own.EndsBy(booking.useful_by) &&
         std::max(booking.due, now) + capacity.call_time <= booking.useful_by;
}

stage_admission::finding stage_admission::FindByArrival(
    const stage_booking& booking, const stage_capacity& capacity,
    const stage_backlog& waiting, time_point now) const {
  finding found;
  found.ahead = in_time_;
  for (const auto& one : waiting.in_time) {
    found.ahead += one.work;
  }
  const service_time service(capacity, confidence_, now);
  const time_point end =
      std::max(booking.due + capacity.call_time, service.EndAfter(found.ahead));
  const time_point limit =
      LimitOf(booking, capacity.call_time, booking.is_over_share) -
      Scaled(capacity.call_time, kRankMarginPart * booking.rank);
  found.lacks = end - limit;
  return found;
}

/// Walks through what waits and what is booked in the order of the queue.
stage_admission::finding stage_admission::FindByDueTime(
    const stage_booking& booking, const stage_capacity& capacity,
    const stage_backlog& waiting, time_point now) const {
  const bool is_idle =
      held_.empty() && waiting.in_time.empty() && waiting.late == duration(0);
  // Only what is admitted in time can raise the confidence again; work that
  // fills the capacity by itself would never be.
  const service_time service(
      capacity, is_idle ? std::max(1.0, confidence_) : confidence_, now);
  const time_point ranked_at =
      RankedAt(booking.useful_by, booking.rank, capacity.call_time);
  const bool is_starved = demand_.IsStarved(booking.kind, now);

  std::vector<ranked_work> queued;
  queued.reserve(waiting.in_time.size());
  for (const auto& one : waiting.in_time) {
    queued.push_back({RankedAt(one.useful_by, one.rank, capacity.call_time),
                      one.useful_by, now, one.rank, one.work, 0});
  }
  const auto by_rank_time = [](const ranked_work& a, const ranked_work& b) {
    return a.ranked_at < b.ranked_at;
  };
  std::sort(queued.begin(), queued.end(), by_rank_time);

  finding found;
  duration before(0);  // Work served before the one looked at.
  duration delays(0);  // The most by which an admitted one would be late.
  due_profile profile(service, now);
  due_profile profile_with(service, now);
  profile_with.Add(booking.due, booking.work);
  std::optional<time_point> own_end;
  const auto find_own_end = [&] {
    found.ahead = before;
    own_end = profile_with.End();
  };
  const auto look = [&](const ranked_work& one) {
    const bool is_after = one.ranked_at > ranked_at;
    if (is_after && !own_end) {
      find_own_end();
    }
    before += one.work;
    profile.Add(one.due, one.work);
    profile_with.Add(one.due, one.work);
    if (!is_after || one.rank > booking.rank) {
      return;
    }
    // One that is late already is not made so by this booking.
    if (!profile_with.EndsBy(one.useful_by) && profile.EndsBy(one.useful_by)) {
      delays = std::max(delays, profile_with.End() - one.useful_by);
    }
  };
  auto next = ranked_.begin();
  for (const auto& one : queued) {
    while (next != ranked_.end() && next->ranked_at <= one.ranked_at) {
      look(*next++);
    }
    look(one);
  }
  std::for_each(next, ranked_.end(), look);
  if (!own_end) {
    find_own_end();
  }

  if (!is_starved) {
    found.reserved = demand_.ExpectedBefore(ranked_at, booking.rank, now);
    found.ahead += found.reserved;
  }
  const bool is_favoured =
      demand_.IsFavoured(booking.kind, now) && demand_.AnyStarved(now);
  const time_point limit = LimitOf(booking, capacity.call_time,
                                   is_favoured || booking.is_over_share);
  const time_point end =
      std::max({booking.due + capacity.call_time, *own_end,
                service.EndAfter(found.ahead + booking.work)});
  found.lacks = std::max(end - limit, delays);
  return found;
}

/// A late request is taken where it is expected to be served soon: one that
/// waits longer holds the results of its earlier stages, and with them the room
/// that others need.
bool stage_admission::MayBeLate(const stage_booking& booking,
                                const stage_capacity& capacity,
                                const stage_backlog& waiting,
                                time_point now) const {
  duration work = in_time_ + late_ + waiting.late;
  for (const auto& one : waiting.in_time) {
    work += one.work;
  }
  const time_point start = std::max(
      booking.due, std::max(now, capacity.opens_at) +
                       Scaled(work, 1.0 / (capacity.calls * confidence_)));
  const duration patience =
      std::min<duration>((booking.worthless_after - booking.due) / 2,
                         capacity.call_time * kLateCalls);
  return start + capacity.call_time <= booking.due + patience;
}

void stage_admission::Hold(const stage_booking& booking, bool in_time,
                           duration call_time, time_point now) {
  const key name{booking.request, booking.stage};
  const time_point expires =
      std::min<time_point>(booking.due, now + kMostLead) + kBookingLife;
  const time_point ranked_at =
      RankedAt(booking.useful_by, booking.rank, call_time);
  held_[name] = {booking.pieces, booking.workspace, booking.work,
                 in_time,        ranked_at,         expires};
  expiries_.emplace(expires, name);
  pieces_ += booking.pieces;
  (in_time ? in_time_ : late_) += booking.work;
  if (in_time) {
    const auto place =
        std::upper_bound(ranked_.begin(), ranked_.end(), ranked_at,
                         [](time_point at, const ranked_work& one) {
                           return at < one.ranked_at;
                         });
    ranked_.insert(place,
                   {ranked_at, booking.useful_by, booking.due, booking.rank,
                    booking.work, KeyDigest(booking.request, booking.stage)});
  }
}

std::optional<released_booking> stage_admission::Release(
    const std::string& request, unsigned stage) {
  const auto found = held_.find({request, stage});
  if (found == held_.end()) {
    return std::nullopt;
  }
  const auto& gone = found->second;
  released_booking released{gone.in_time, gone.workspace, gone.work};
  Drop(found);
  return released;
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
  const auto& [name, gone] = *booking;
  pieces_ -= std::min<std::size_t>(pieces_, gone.pieces);
  (gone.in_time ? in_time_ : late_) -= gone.work;
  if (gone.in_time) {
    const auto digest = KeyDigest(name.first, name.second);
    const auto first =
        std::lower_bound(ranked_.begin(), ranked_.end(), gone.ranked_at,
                         [](const ranked_work& one, time_point at) {
                           return one.ranked_at < at;
                         });
    const auto place = std::find_if(
        first, ranked_.end(),
        [&](const ranked_work& one) { return one.booking == digest; });
    if (place != ranked_.end()) {
      ranked_.erase(place);
    }
  }
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
