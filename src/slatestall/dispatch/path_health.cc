#include "slatestall/dispatch/path_health.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Endpoints in a row that make a cut: one request may crash two of them.
constexpr std::size_t kUnreachedOfCut = 3;
constexpr unsigned kLeastFailures = 2;
/// Failures further apart have nothing to do with one another.
constexpr milliseconds kFailureLife{10'000};
/// Probes in a row that end a cut.
constexpr unsigned kProbesToRestore = 2;
/// Calls that no other host brought to an endpoint, in a row, before the
/// service counts as down for all hosts, and the time until that is tried
/// again.
constexpr unsigned kRelayFailures = 4;
constexpr milliseconds kRelayPause{1000};

}  // namespace

void path_health::NoteReached(const std::string& service, time_point sent) {
  auto& one = paths_[service];
  // A connection made before the cut may live on.
  std::erase_if(one.unreached,
                [sent](const auto& failed) { return failed.second <= sent; });
  if (one.unreached.empty()) {
    one.failures = 0;
  }
}

bool path_health::NoteUnreached(const known_endpoint& endpoint,
                                time_point now) {
  auto& one = paths_[endpoint.service];
  std::erase_if(one.unreached, [now](const auto& failed) {
    return now - failed.second > kFailureLife;
  });
  if (one.unreached.empty()) {
    one.failures = 0;
  }
  one.unreached[endpoint.Incarnation()] = now;
  ++one.failures;
  const std::size_t needed =
      std::min(kUnreachedOfCut, endpoints_(endpoint.service));
  const bool many =
      one.failures >= kLeastFailures && one.unreached.size() >= needed;
  if (one.is_cut || !(many || AnyCut())) {
    return false;
  }
  one.is_cut = true;
  one.probes_reached = 0;
  one.relay_failures = 0;
  return true;
}

bool path_health::NoteProbe(const std::string& service, bool reached) {
  auto& one = paths_[service];
  one.probes_reached = reached ? one.probes_reached + 1 : 0;
  if (!one.is_cut || one.probes_reached < kProbesToRestore) {
    return false;
  }
  one = {};
  return true;
}

void path_health::NoteRelayed(const std::string& service, relay_result result,
                              time_point now) {
  auto& one = paths_[service];
  if (result == relay_result::kReached) {
    one.relay_failures = 0;
    return;
  }
  if (++one.relay_failures >= kRelayFailures) {
    one.relays_from = now + kRelayPause;
    one.relay_failures = kRelayFailures - 1;
  }
}

bool path_health::IsCut(const std::string& service) const {
  const auto found = paths_.find(service);
  return found != paths_.end() && found->second.is_cut;
}

bool path_health::MayRelay(const std::string& service, time_point now) const {
  const auto found = paths_.find(service);
  return found != paths_.end() && found->second.is_cut &&
         now >= found->second.relays_from;
}

std::vector<std::string> path_health::CutServices() const {
  std::vector<std::string> services;
  for (const auto& [service, one] : paths_) {
    if (one.is_cut) {
      services.push_back(service);
    }
  }
  return services;
}

bool path_health::AnyCut() const {
  return std::any_of(paths_.begin(), paths_.end(),
                     [](const auto& one) { return one.second.is_cut; });
}

}  // namespace slatestall
