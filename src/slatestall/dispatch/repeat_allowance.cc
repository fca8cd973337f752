#include "slatestall/dispatch/repeat_allowance.h"

#include <utility>

namespace slatestall {
namespace {

/// Part of the ratio that a host uses. Hosts count requests when they arrive
/// and repeats when they are sent; the rest covers windows that cut these
/// apart.
constexpr double kUsedPart = 0.8;

void DropBefore(std::deque<time_point>& times, time_point limit) {
  while (!times.empty() && times.front() < limit) {
    times.pop_front();
  }
}

bool TakeBelow(std::deque<time_point>& taken, double allowed, time_point now) {
  if (static_cast<double>(taken.size()) + 1 > allowed) {
    return false;
  }
  taken.push_back(now);
  return true;
}

}  // namespace

/// Parts that were lent or kept for another window are rested like those of a
/// host that has just started.
void repeat_allowance::SetLimits(const repeat_limits& limits) {
  const bool other_window = limits.window != limits_.window;
  limits_ = limits;
  if (other_window) {
    share_ = reserve_share(Times());
  }
}

reserve_times repeat_allowance::Times() const {
  return reserve_times::For(limits_.window);
}

void repeat_allowance::Forget(history& past, time_point now) const {
  DropBefore(past.requests, now - limits_.window);
  DropBefore(past.repeats, now - limits_.window);
  // Counted by this host's clock alone, whatever it runs like.
  DropBefore(past.kept_repeats,
             now - reserve_times::Outlasting(limits_.window));
  std::erase_if(past.grants, [now](const grant& one) {
    return one.until <= now || one.repeats == 0;
  });
}

void repeat_allowance::NoteRequest(const std::string& service, time_point now) {
  auto& past = histories_[service];
  past.requests.push_back(now);
  Forget(past, now);
}

bool repeat_allowance::TakeByRatio(history& past, time_point now) const {
  return TakeBelow(
      past.repeats,
      kUsedPart * limits_.ratio * static_cast<double>(past.requests.size()),
      now);
}

bool repeat_allowance::TakeKept(history& past, time_point now) const {
  return TakeBelow(past.kept_repeats, share_.Kept(limits_.reserve, now), now);
}

bool repeat_allowance::TakeGranted(history& past) {
  if (past.grants.empty()) {
    return false;
  }
  --past.grants.front().repeats;
  return true;
}

bool repeat_allowance::Take(const std::string& service, time_point now) {
  auto& past = histories_[service];
  Forget(past, now);
  if (TakeByRatio(past, now) || TakeKept(past, now)) {
    return true;
  }
  ++wanted_[service];
  return TakeGranted(past);
}

reserve_question repeat_allowance::Question(const std::string& pool,
                                            time_point now) {
  return {share_.Lend(pool, limits_.reserve, now), std::exchange(wanted_, {})};
}

void repeat_allowance::NoteAnswer(const std::string& pool,
                                  const reserve_answer& answer,
                                  time_point asked, time_point now) {
  share_.NoteStamp(pool, answer.stamp, now);
  for (const auto& [service, repeats] : answer.granted) {
    histories_[service].grants.push_back({repeats, asked + Times().grant});
  }
}

}  // namespace slatestall
