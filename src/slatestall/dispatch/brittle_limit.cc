#include "slatestall/dispatch/brittle_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "slatestall/dispatch/spread_factor.h"

namespace slatestall {
namespace {

/// A second by the endpoint's clock, and what connections and clocks differ by.
constexpr milliseconds kWindow{1400};
/// A call that is turned away is answered within it.
constexpr milliseconds kAnswerTime{100};
/// Of what an endpoint bears, for hosts with a part, for single calls of the
/// others, and for each of two homes where the list of hosts is split.
constexpr double kPartsShare = 0.5;
constexpr double kSinglesShare = 0.25;
constexpr double kHomeShare = 0.5;
constexpr double kLongestInterval = 600;  // seconds
/// Endpoints whose calls are kept; they are few unless hosts run for days.
constexpr std::size_t kMostEndpoints = 4096;

std::size_t AtLeastOne(double calls) {
  constexpr double kMost = 1e6;  // What nobody reaches.
  return static_cast<std::size_t>(
      std::max(1.0, std::floor(std::min(calls, kMost))));
}

}  // namespace

brittle_limit::brittle_limit(std::string self)
    : self_(self), parts_(std::move(self), kWindow) {}

void brittle_limit::SetHosts(const std::vector<std::string>& hosts) {
  parts_.SetHosts(hosts);
  hosts_ = std::max<std::size_t>(1, hosts.size());
}

std::size_t brittle_limit::AtRisk(const endpoint_incarnation& endpoint,
                                  time_point now) {
  if (calls_.size() >= kMostEndpoints) {
    calls_.clear();
  }
  auto& one = calls_[endpoint];
  while (!one.sent.empty() && now - one.sent.front() >= kAnswerTime) {
    one.sent.pop_front();
  }
  while (!one.turned_away.empty() && now - one.turned_away.front() >= kWindow) {
    one.turned_away.pop_front();
  }
  return one.sent.size() + one.turned_away.size();
}

bool brittle_limit::Allows(const endpoint_incarnation& endpoint, double bears,
                           bool is_counted, time_point now) {
  if (bears <= 0) {
    return false;
  }
  const auto at_risk = AtRisk(endpoint, now);
  const auto part =
      is_counted ? parts_.Part(endpoint, AtLeastOne(kPartsShare * bears)) : 0;
  if (part > 0) {
    return at_risk < part;
  }
  auto& one = calls_[endpoint];
  if (one.next_single == time_point{}) {
    one.next_single = now + SingleInterval(endpoint, bears, now);
  }
  return at_risk == 0 && now >= one.next_single;
}

bool brittle_limit::AllowsHome(const endpoint_incarnation& endpoint,
                               double bears, time_point now) {
  return AtRisk(endpoint, now) < AtLeastOne(kHomeShare * bears);
}

void brittle_limit::NoteSent(const endpoint_incarnation& endpoint, double bears,
                             time_point now) {
  auto& one = calls_[endpoint];
  one.sent.push_back(now);
  one.next_single = now + SingleInterval(endpoint, bears, now);
}

void brittle_limit::NoteTurnedAway(const endpoint_incarnation& endpoint,
                                   time_point now) {
  calls_[endpoint].turned_away.push_back(now);
}

/// Half to one and a half of what all hosts in turn would keep, so that hosts
/// that learn of the endpoint together do not call it together.
duration brittle_limit::SingleInterval(const endpoint_incarnation& endpoint,
                                       double bears, time_point now) const {
  const double singles =
      std::max(kSinglesShare * bears / static_cast<double>(hosts_),
               1 / kLongestInterval);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      SpreadFactor(self_ + endpoint.id, now) / singles));
}

}  // namespace slatestall
