#include "slatestall/dispatch/endpoint_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace slatestall {
namespace {

/// First pause after a failure; doubles with each failure in a row. Half a
/// second is shorter than any restart of an endpoint, and at most a tenth of
/// the deadlines that requests have.
constexpr milliseconds kFirstPause{500};
constexpr unsigned kMaxDoublings = 3;
/// A told load says little after a second: requests take a few hundred
/// milliseconds each.
constexpr double kToldLoadLife = 1.0;  // seconds

/// How long a report of free places counts on, and the part of the places that
/// may be taken by then, since other hosts have read it, too.
constexpr milliseconds kRoomLife{300};
constexpr double kRoomPart = 0.5;

/// The pace of a machine that others use, too, changes many times a second; an
/// older report is worse than none.
constexpr milliseconds kPaceLife{300};
/// Bounds what a wrong report can do.
constexpr double kLeastPace = 0.2;
constexpr double kMostPace = 5.0;

double SecondsBetween(time_point from, time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

std::string AddressText(const known_endpoint& endpoint) {
  return endpoint.address.address().to_string() + ":" +
         std::to_string(endpoint.address.port());
}

void endpoint_record::NoteEnd(call_lesson lesson, time_point now) {
  in_flight_ -= in_flight_ > 0 ? 1 : 0;
  switch (lesson) {
    case call_lesson::kAnswered:
      failures_in_row_ = 0;
      failures_.Add(0);
      break;
    case call_lesson::kFailed:
    case call_lesson::kUnreachable:
      failures_.Add(1);
      avoid_until_ =
          now + kFirstPause * (1U << std::min(failures_in_row_, kMaxDoublings));
      ++failures_in_row_;
      break;
    case call_lesson::kRefused:
    case call_lesson::kNothing:
      break;
  }
}

void endpoint_record::ForgetFailures() {
  failures_in_row_ = 0;
  avoid_until_ = {};
}

void endpoint_record::NoteLoad(const told_load& load) {
  told_ = load;
  in_flight_when_told_ = in_flight_;
}

bool endpoint_record::NoteQuota(std::optional<double> per_second) {
  return std::exchange(quota_, per_second) != per_second;
}

bool endpoint_record::HasRoom(time_point now) const {
  return told_.at != time_point{} && now - told_.at < kRoomLife &&
         Busy(now) < kRoomPart * info_.slots;
}

bool endpoint_record::NoteBackOff(time_point until) {
  return std::exchange(back_off_until_, std::max(back_off_until_, until)) <
         until;
}

double endpoint_record::Pace(time_point now) const {
  if (!uses_pace_ || !told_.pace || now - told_.at >= kPaceLife) {
    return 1.0;
  }
  return std::clamp(*told_.pace, kLeastPace, kMostPace);
}

double endpoint_record::OthersBusy(time_point now) const {
  if (told_.at == time_point{}) {
    return 0;
  }
  const double told = static_cast<double>(told_.running) + told_.waiting;
  const double others = std::max(0.0, told - in_flight_when_told_);
  const double age = std::max(0.0, SecondsBetween(told_.at, now));
  return others * std::exp(-age / kToldLoadLife);
}

double endpoint_record::Busy(time_point now) const {
  return in_flight_ + OthersBusy(now);
}

}  // namespace slatestall
