#include "slatestall/dispatch/repeat_allowance.h"

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

}  // namespace

void repeat_allowance::Forget(history& past, time_point now) const {
  DropBefore(past.requests, now - limits_.window);
  DropBefore(past.repeats, now - limits_.window);
}

void repeat_allowance::NoteRequest(const std::string& service, time_point now) {
  auto& past = histories_[service];
  past.requests.push_back(now);
  Forget(past, now);
}

bool repeat_allowance::Take(const std::string& service, time_point now) {
  auto& past = histories_[service];
  Forget(past, now);
  const double allowed =
      limits_.reserve +
      kUsedPart * limits_.ratio * static_cast<double>(past.requests.size());
  if (static_cast<double>(past.repeats.size()) + 1 > allowed) {
    return false;
  }
  past.repeats.push_back(now);
  return true;
}

}  // namespace slatestall
