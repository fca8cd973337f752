#include "slatestall/dispatch/home_finder.h"

#include <utility>

namespace slatestall {
namespace {

/// Others that start with this host refuse connections until they are up.
constexpr milliseconds kStartTime{500};
/// The list of hosts may come after everything else that a start reads. Work
/// does not wait for it as long as that where the store is away.
constexpr milliseconds kListTime{2000};

}  // namespace

home_finder::home_finder(home_candidate self, time_point started,
                         const disabled_mechanisms& disabled)
    : self_(std::move(self)),
      started_(started),
      disabled_(disabled),
      hosts_({self_}) {}

void home_finder::SetHosts(const std::vector<home_candidate>& others) {
  listed_ = true;
  hosts_ = {self_};
  std::vector<std::string> names;
  for (const auto& other : others) {
    if (other.host != self_.host) {
      hosts_.push_back(other);
      names.push_back(other.host);
    }
  }
  rankings_.clear();
  health_.Keep(names);
}

const std::vector<std::string>& home_finder::Ranked(
    const std::string& part) const {
  const auto found = rankings_.find(part);
  if (found != rankings_.end()) {
    return found->second;
  }
  return rankings_[part] = RankHomes(part, hosts_, disabled_);
}

bool home_finder::Lives(const std::string& host) const {
  return host == self_.host ? !draining_ : health_.IsTrusted(host);
}

std::optional<std::string> home_finder::HomeOf(const std::string& part,
                                               time_point now) const {
  const bool others_start = now < started_ + kStartTime;
  bool may_answer = !listed_ && now < started_ + kListTime;
  std::size_t lost = 0;
  for (const auto& host : Ranked(part)) {
    if (Lives(host)) {
      // Where all start, whoever is up first would be home for a moment, and
      // the endpoints be called by it and by its betters.
      const bool waits = may_answer && (host == self_.host || others_start);
      return waits ? std::nullopt : std::optional(host);
    }
    if (host == self_.host) {
      continue;
    }
    if (health_.IsUnknown(host)) {
      may_answer = may_answer || lost < home_health::kMostLost;
    } else {
      may_answer = may_answer || others_start;
      ++lost;
    }
  }
  return may_answer ? std::nullopt : std::optional(self_.host);
}

void home_finder::AddDue(const std::string& part, std::size_t count,
                         time_point now, std::set<std::string>& due) const {
  health_.AddDue(
      Ranked(part), self_.host, count,
      [this](const std::string& host) { return Lives(host); }, now, due);
}

}  // namespace slatestall
