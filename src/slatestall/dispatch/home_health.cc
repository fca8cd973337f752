#include "slatestall/dispatch/home_health.h"

#include <algorithm>
#include <set>
#include <string_view>

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
/// Hosts asked at once where none is known: one that is dead costs no time, and
/// a fleet that starts does not connect each to each.
constexpr std::size_t kAskedAhead = 3;

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
  state.answered_at = now;
  state.failures = 0;
  state.next_at = now + kInterval;
}

void home_health::NoteStore(const std::string& host, bool answers) {
  states_[host].lacks_store = !answers;
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

bool home_health::LacksStore(const std::string& host) const {
  const auto found = states_.find(host);
  return found != states_.end() && found->second.lacks_store;
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

bool home_health::AnsweredWithin(const std::string& host, duration age,
                                 time_point now) const {
  const auto found = states_.find(host);
  return found != states_.end() && found->second.trusted &&
         now - found->second.answered_at < age;
}

/// Those in use, and all before them that may have come back. The further the
/// ranking is lost, the more are asked at once, so that the end of it is
/// reached in a few rounds.
void home_health::AddDue(const std::vector<std::string>& ranking,
                         const std::string& self, std::size_t count,
                         const std::function<bool(const std::string&)>& serves,
                         time_point now, std::set<std::string>& due) const {
  std::size_t ahead = 0;
  std::size_t lost = 0;
  for (const auto& host : ranking) {
    if (count == 0 || ahead == kAskedAhead + lost) {
      break;
    }
    count -= serves(host) ? 1 : 0;
    if (host == self) {
      continue;
    }
    if (IsDue(host, now)) {
      due.insert(host);
    }
    if (IsUnknown(host)) {
      ++ahead;
    } else if (!IsTrusted(host)) {
      ++lost;
    }
  }
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
  const std::set<std::string_view> kept(hosts.begin(), hosts.end());
  std::erase_if(states_,
                [&](const auto& item) { return !kept.contains(item.first); });
}

}  // namespace slatestall
