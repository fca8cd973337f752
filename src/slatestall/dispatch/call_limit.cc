#include "slatestall/dispatch/call_limit.h"

#include <algorithm>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// A window by this host's clock, whatever it runs like, and the time in which
/// a connection may be made: of two calls, the first may be sent that late.
constexpr int kClockErrorPart = 20;
constexpr milliseconds kConnectTime{350};
/// Endpoints whose rank is kept; they are few unless hosts run for days.
constexpr std::size_t kMostRanks = 4096;

}  // namespace

call_limit::call_limit(std::string self, milliseconds window)
    : self_(std::move(self)),
      window_(window + window / kClockErrorPart + kConnectTime) {}

void call_limit::SetHosts(const std::vector<std::string>& hosts) {
  others_ = hosts;
  std::erase(others_, self_);
  ranks_.clear();
}

std::size_t call_limit::RankAt(const endpoint_incarnation& endpoint) {
  const auto known = ranks_.find(endpoint);
  if (known != ranks_.end()) {
    return known->second;
  }
  if (ranks_.size() >= kMostRanks) {
    ranks_.clear();
  }
  const auto seed = StableHash(endpoint.id);
  const auto own = std::pair(StableHash(self_, seed), self_);
  const auto before =
      std::count_if(others_.begin(), others_.end(), [&](const auto& host) {
        return std::pair(StableHash(host, seed), host) > own;
      });
  return ranks_[endpoint] = static_cast<std::size_t>(before);
}

std::size_t call_limit::Part(const endpoint_incarnation& endpoint,
                             std::size_t calls) {
  const auto senders = std::min(others_.size() + 1, calls);
  if (senders == 0) {
    return 0;
  }
  const auto rank = RankAt(endpoint);
  // Never more in a longer list: there, both numbers only grow.
  return rank >= senders ? 0 : (calls - rank + senders - 1) / senders;
}

bool call_limit::Allows(const endpoint_incarnation& endpoint, std::size_t calls,
                        time_point now) {
  const auto part = Part(endpoint, calls);
  return part > 0 && Sent(endpoint, now) < part;
}

std::size_t call_limit::Sent(const endpoint_incarnation& endpoint,
                             time_point now) {
  Forget(now);
  const auto sent = sent_.find(endpoint);
  return sent == sent_.end() ? 0 : sent->second.size();
}

void call_limit::NoteSent(const endpoint_incarnation& endpoint,
                          time_point now) {
  Forget(now);
  sent_[endpoint].push_back(now);
}

void call_limit::Forget(time_point now) {
  for (auto& [endpoint, times] : sent_) {
    while (!times.empty() && now - times.front() >= window_) {
      times.pop_front();
    }
  }
  std::erase_if(sent_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace slatestall
