#include "slatestall/node/poll_schedule.h"

#include <algorithm>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// An endpoint leaves unseen for at most this long and the time of a poll,
/// also where nobody calls it: with the second or so that its notice takes to
/// reach all hosts, less than the three seconds in which they must know.
constexpr milliseconds kWatchInterval{1000};
/// Orders count a report as known for 15 s; three polls may get lost.
constexpr milliseconds kOrderInterval{4000};
/// A service of which no endpoint was called for this long is quiet.
constexpr milliseconds kBusyFor{10'000};
/// Answers tell counts only: models, adapters and cache hints come by polls,
/// which answers put off to at most this, or this many intervals.
constexpr milliseconds kLongestPutOff{10'000};
constexpr int kIntervalsPutOff = 4;
constexpr milliseconds kSpread{250};

// New targets come all at once with a configuration; polled at once they
// would stay in step for good.
milliseconds FirstDelay(const std::string& address, const poll_pace& pace) {
  const auto spread = std::min(pace.busy, kSpread);
  const auto range = static_cast<std::uint64_t>(spread.count()) + 1;
  return milliseconds{StableHash(address, RandomBits()) % range};
}

}  // namespace

void poll_schedule::SetTargets(
    const std::map<std::string, poll_reason>& targets, poll_pace pace,
    time_point now) {
  pace_ = pace;
  std::erase_if(targets_, [&targets](const auto& entry) {
    return targets.count(entry.first) == 0;
  });
  for (const auto& [address, reason] : targets) {
    const auto [entry, added] = targets_.try_emplace(address);
    entry->second.reason = reason;
    if (added) {
      entry->second.first = now + FirstDelay(address, pace);
    }
  }
}

void poll_schedule::NoteTold(const std::string& address, time_point now) {
  if (const auto found = targets_.find(address); found != targets_.end()) {
    found->second.told = now;
    last_told_[found->second.reason.service] = now;
  }
}

std::vector<std::string> poll_schedule::TakeDue(time_point now) {
  std::vector<std::string> due;
  for (auto& [address, target] : targets_) {
    if (DueOf(target, now) <= now) {
      target.polled = now;
      due.push_back(address);
    }
  }
  return due;
}

std::optional<time_point> poll_schedule::NextDue(time_point now) const {
  std::optional<time_point> next;
  for (const auto& [address, target] : targets_) {
    const auto due = DueOf(target, now);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

milliseconds poll_schedule::IntervalOf(const target& target,
                                       time_point now) const {
  const auto told = last_told_.find(target.reason.service);
  const bool busy = !target.reason.service.empty() &&
                    told != last_told_.end() && now - told->second < kBusyFor;
  auto interval = busy ? pace_.busy : pace_.quiet;
  if (target.reason.watched) {
    interval = std::min(interval, kWatchInterval);
  }
  if (target.reason.ordered) {
    interval = std::min(interval, kOrderInterval);
  }
  return interval;
}

time_point poll_schedule::DueOf(const target& target, time_point now) const {
  if (target.polled == time_point{}) {
    return target.first;
  }
  const auto interval = IntervalOf(target, now);
  // Answers do not say that their endpoint leaves. Put off by them, the word of
  // an endpoint that is called all the time, and goes on answering, would come
  // ten seconds late, and all that while it would be given new work.
  if (target.reason.ordered || target.reason.watched) {
    return target.polled + interval;
  }
  const auto put_off = std::max(kLongestPutOff, kIntervalsPutOff * interval);
  return std::min(std::max(target.polled, target.told) + interval,
                  target.polled + put_off);
}

}  // namespace slatestall
