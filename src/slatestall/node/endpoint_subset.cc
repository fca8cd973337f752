#include "slatestall/node/endpoint_subset.h"

#include <algorithm>
#include <tuple>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr std::size_t kPollsPerSecond = 20;
constexpr milliseconds kFastestPoll{250};

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

milliseconds PollInterval(std::size_t endpoints, std::size_t hosts) {
  if (endpoints == 0) {
    return kFastestPoll;
  }
  const auto pollers = static_cast<double>(SubsetSize(endpoints, hosts)) *
                       static_cast<double>(hosts) /
                       static_cast<double>(endpoints);
  const milliseconds fair{
      static_cast<std::int64_t>(1000 * pollers / kPollsPerSecond)};
  return std::max(kFastestPoll, fair);
}

}  // namespace slatestall
