#include "slatestall/dispatch/relay_choice.h"

#include <algorithm>

namespace slatestall {
namespace {

/// How long a host that refused is left alone; cuts last some seconds.
constexpr milliseconds kRefusalPause{1500};

}  // namespace

void relay_choice::SetHosts(const std::vector<relay_host>& hosts) {
  std::map<std::string, known_host> listed;
  for (const auto& host : hosts) {
    auto& one = listed[host.host];
    const auto known = hosts_.find(host.host);
    if (known != hosts_.end() && known->second.listed.address == host.address) {
      one = known->second;
    }
    one.listed = host;
  }
  hosts_.swap(listed);
}

std::vector<relay_host> relay_choice::Pick(std::size_t most,
                                           time_point now) const {
  struct candidate {
    double cost;
    std::uint64_t tie;
    const known_host* host;
  };
  constexpr std::uint64_t kTies = 1U << 20U;
  std::vector<candidate> candidates;
  for (const auto& [name, one] : hosts_) {
    if (now >= one.avoid_until) {
      candidates.push_back(
          {(one.calls + 1.0) / one.listed.weight, draw_(kTies), &one});
    }
  }
  const auto wanted = std::min(most, candidates.size());
  std::partial_sort(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(wanted),
      candidates.end(), [](const candidate& a, const candidate& b) {
        return a.cost < b.cost || (a.cost == b.cost && a.tie < b.tie);
      });
  std::vector<relay_host> picked;
  for (std::size_t i = 0; i < wanted; ++i) {
    picked.push_back(candidates[i].host->listed);
  }
  return picked;
}

void relay_choice::NoteStart(const std::string& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    ++found->second.calls;
  }
}

void relay_choice::NoteEnd(const std::string& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end() && found->second.calls > 0) {
    --found->second.calls;
  }
}

void relay_choice::NoteRefused(const std::string& host, time_point now) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.avoid_until = now + kRefusalPause;
  }
}

}  // namespace slatestall
