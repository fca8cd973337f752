#include "slatestall/dispatch/crash_suspicions.h"

namespace slatestall {
namespace {

/// Calls that broke off longer ago prove nothing: the endpoint may have been
/// stopped since then.
constexpr milliseconds kSuspicionLife{10'000};

}  // namespace

void crash_suspicions::Note(const known_endpoint& endpoint, time_point now) {
  suspects_[endpoint.Incarnation()] = {endpoint, now};
}

std::vector<known_endpoint> crash_suspicions::NoteReached(
    const std::string& service, time_point sent, time_point now) {
  std::vector<known_endpoint> again;
  std::erase_if(suspects_, [&](const auto& entry) {
    const auto& one = entry.second;
    if (now - one.since > kSuspicionLife) {
      return true;
    }
    const bool is_due = one.endpoint.service == service && one.since <= sent;
    if (is_due) {
      again.push_back(one.endpoint);
    }
    return is_due;
  });
  return again;
}

void crash_suspicions::Settle(const endpoint_incarnation& endpoint) {
  suspects_.erase(endpoint);
}

}  // namespace slatestall
