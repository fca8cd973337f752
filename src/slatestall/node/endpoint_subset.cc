#include "slatestall/node/endpoint_subset.h"

#include <algorithm>
#include <tuple>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr std::size_t kPollsPerSecondOfFleet = 320;
constexpr std::size_t kFewestPolls = 4;
constexpr std::size_t kMostPolls = 20;
constexpr std::size_t kPollsOfEndpoint = 20;
constexpr milliseconds kFastestPoll{250};
constexpr milliseconds kQuietPoll{10'000};
/// Less than the time for which an endpoint that answered counts as there.
constexpr milliseconds kSlowestPoll{30'000};

struct ranked_endpoint {
  std::uint64_t rank;
  const endpoint* where;
};

std::vector<ranked_endpoint> Ranked(const std::vector<endpoint>& endpoints,
                                    const std::string& host) {
  std::vector<ranked_endpoint> ranked;
  ranked.reserve(endpoints.size());
  for (const auto& where : endpoints) {
    ranked.push_back({StableHash(host + '\n' + where.address), &where});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& left, const auto& right) {
              return std::tie(left.rank, left.where->address) <
                     std::tie(right.rank, right.where->address);
            });
  return ranked;
}

}  // namespace

std::size_t SubsetSize(std::size_t endpoints, std::size_t hosts) {
  const std::size_t used = std::max<std::size_t>(hosts, 1);
  const auto fair = (endpoints * kHostsPerEndpoint + used - 1) / used;
  return std::min(endpoints, std::max(kMinSubset, fair));
}

std::set<std::string> SubsetOf(const std::vector<endpoint>& endpoints,
                               const std::string& host,
                               const std::string& failure_domain,
                               std::size_t size) {
  const auto ranked = Ranked(endpoints, host);
  std::set<std::string> chosen;
  for (const auto& candidate : ranked) {
    if (chosen.size() < size / 2 &&
        candidate.where->failure_domain == failure_domain) {
      chosen.insert(candidate.where->address);
    }
  }
  for (const auto& candidate : ranked) {
    if (chosen.size() < size) {
      chosen.insert(candidate.where->address);
    }
  }
  return chosen;
}

std::size_t UsersOf(std::size_t endpoints, std::size_t hosts) {
  return endpoints == 0 ? 0 : SubsetSize(endpoints, hosts) * hosts / endpoints;
}

poll_pace PollPace(std::size_t used, std::size_t hosts,
                   std::size_t most_users) {
  const std::size_t fleet = std::max<std::size_t>(hosts, 1);
  const auto polls_of_host =
      std::clamp(kPollsPerSecondOfFleet / fleet, kFewestPolls, kMostPolls);
  const auto fair = std::max(1000 * used / polls_of_host,
                             1000 * most_users / kPollsOfEndpoint);
  poll_pace pace;
  pace.busy = std::clamp(milliseconds{static_cast<std::int64_t>(fair)},
                         kFastestPoll, kSlowestPoll);
  pace.quiet = std::max(pace.busy, kQuietPoll);
  return pace;
}

}  // namespace slatestall
