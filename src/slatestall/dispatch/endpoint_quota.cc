#include "slatestall/dispatch/endpoint_quota.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "slatestall/dispatch/spread_factor.h"

namespace slatestall {
namespace {

constexpr std::chrono::seconds kWindow{4};
/// Of the quota, for looks of hosts that have no part in it.
constexpr double kLookPart = 0.25;
constexpr double kLeastLooks = 0.05;  // a second
constexpr double kMostLooks = 0.5;    // a second
constexpr std::size_t kUncountedPart = 4;
/// Where the list of hosts is split, two are home to one endpoint.
constexpr double kHomePart = 0.75;
/// Endpoints whose next look is kept; they are few unless hosts run for days.
constexpr std::size_t kMostLooksKept = 4096;

double LooksPerSecond(double per_second) {
  return std::clamp(kLookPart * per_second, kLeastLooks, kMostLooks);
}

std::size_t InWindow(double per_second) {
  const double calls = std::max(0.0, per_second) * kWindow.count();
  constexpr double kMost = 1e6;  // A quota beyond it binds nobody.
  return static_cast<std::size_t>(std::lround(std::min(calls, kMost)));
}

std::size_t CallsOf(double per_second, quota_share share) {
  switch (share) {
    case quota_share::kCounted:
      return InWindow(per_second - LooksPerSecond(per_second));
    case quota_share::kUncounted:
      return InWindow(per_second - LooksPerSecond(per_second)) / kUncountedPart;
    case quota_share::kHome:
      return std::max<std::size_t>(1, InWindow(kHomePart * per_second));
  }
  return 0;
}

}  // namespace

endpoint_quota::endpoint_quota(std::string self)
    : self_(self), limit_(std::move(self), kWindow) {}

void endpoint_quota::SetHosts(const std::vector<std::string>& hosts) {
  limit_.SetHosts(hosts);
  hosts_ = std::max<std::size_t>(1, hosts.size());
}

bool endpoint_quota::Allows(const endpoint_incarnation& endpoint,
                            double per_second, quota_share share,
                            time_point now) {
  const auto calls = CallsOf(per_second, share);
  if (share == quota_share::kHome) {
    return limit_.Sent(endpoint, now) < calls;
  }
  return limit_.Part(endpoint, calls) > 0
             ? limit_.Allows(endpoint, calls, now)
             : IsLookDue(endpoint, per_second, now);
}

bool endpoint_quota::HasPart(const endpoint_incarnation& endpoint,
                             double per_second, quota_share share,
                             time_point now) {
  return share == quota_share::kHome ||
         limit_.Part(endpoint, CallsOf(per_second, share)) > 0 ||
         IsLookDue(endpoint, per_second, now);
}

void endpoint_quota::NoteSent(const endpoint_incarnation& endpoint,
                              double per_second, time_point now) {
  limit_.NoteSent(endpoint, now);
  looks_[endpoint] = now + NextLook(endpoint, per_second, now);
}

/// The first is due some time after the quota was heard of, so that hosts that
/// hear of it together do not look together.
bool endpoint_quota::IsLookDue(const endpoint_incarnation& endpoint,
                               double per_second, time_point now) {
  if (looks_.size() >= kMostLooksKept) {
    looks_.clear();
  }
  const auto due =
      looks_.try_emplace(endpoint, now + NextLook(endpoint, per_second, now));
  return now >= due.first->second;
}

duration endpoint_quota::NextLook(const endpoint_incarnation& endpoint,
                                  double per_second, time_point now) const {
  const double interval =
      static_cast<double>(hosts_) / LooksPerSecond(per_second);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      std::max(interval, static_cast<double>(kWindow.count())) *
      SpreadFactor(self_ + endpoint.id, now)));
}

}  // namespace slatestall
