#include "slatestall/dispatch/home_health.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Between questions to a host that answers. With an answer overdue after
/// `kOverdue`, a lost home is noticed within 0.7 s; the stages of a request
/// take 0.2 to 0.3 s each.
constexpr milliseconds kInterval{250};
constexpr milliseconds kOverdue{450};
/// Between questions to one that does not; doubles up to the longest.
constexpr milliseconds kFirstRetry{100};
constexpr unsigned kMaxDoublings = 5;

}  // namespace

void home_health::NoteAsked(const std::string& host, time_point now) {
  auto& state = states_[host];
  state.asked = true;
  state.asked_at = now;
}

void home_health::NoteAnswer(const std::string& host, bool draining,
                             time_point now) {
  auto& state = states_[host];
  state.asked = false;
  state.trusted = true;
  state.draining = draining;
  state.failures = 0;
  state.next_at = now + kInterval;
}

void home_health::NoteFailure(const std::string& host, time_point now) {
  auto& state = states_[host];
  state.asked = false;
  state.trusted = false;
  state.next_at =
      now + kFirstRetry * (1U << std::min(state.failures, kMaxDoublings));
  ++state.failures;
}

bool home_health::IsTrusted(const std::string& host) const {
  const auto found = states_.find(host);
  return found != states_.end() && found->second.trusted &&
         !found->second.draining;
}

bool home_health::AnyTrusted() const {
  return std::any_of(states_.begin(), states_.end(), [](const auto& item) {
    return item.second.trusted && !item.second.draining;
  });
}

bool home_health::IsUnknown(const std::string& host) const {
  const auto found = states_.find(host);
  return found == states_.end() ||
         (!found->second.trusted && found->second.failures == 0);
}

bool home_health::IsDue(const std::string& host, time_point now) const {
  const auto found = states_.find(host);
  return found == states_.end() ||
         (!found->second.asked && now >= found->second.next_at);
}

std::vector<std::string> home_health::Overdue(time_point now) const {
  std::vector<std::string> overdue;
  for (const auto& [host, state] : states_) {
    if (state.asked && now - state.asked_at > kOverdue) {
      overdue.push_back(host);
    }
  }
  return overdue;
}

void home_health::Keep(const std::vector<std::string>& hosts) {
  std::erase_if(states_, [&](const auto& item) {
    return std::find(hosts.begin(), hosts.end(), item.first) == hosts.end();
  });
}

}  // namespace slatestall
