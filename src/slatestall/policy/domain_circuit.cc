#include "slatestall/policy/domain_circuit.h"

#include <algorithm>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr std::size_t kFailedEndpoints = 3;
constexpr auto kWindow = std::chrono::seconds(5);
constexpr auto kAnsweredLately = std::chrono::seconds(2);
constexpr double kFirstOpening = 2;  // Seconds; doubles each time.
constexpr unsigned kMostDoublings = 3;
constexpr auto kForgiveAfter = std::chrono::seconds(60);

}  // namespace

// One answer proves that the domain is reached, so the evidence starts anew;
// a few broken endpoints are the business of their own ejection.
void domain_circuit::Answered(const std::string& failure_domain,
                              time_point now) {
  domain_state& state = domains_[failure_domain];
  state.failed.clear();
  state.answered = now;
  if (now - state.open_until > kForgiveAfter) {
    state.openings = 0;
  }
}

void domain_circuit::Failed(const std::string& failure_domain,
                            const std::string& address, time_point now) {
  domain_state& state = domains_[failure_domain];
  std::erase_if(state.failed, [&](const failed_endpoint& known) {
    return known.address == address || now - known.when > kWindow;
  });
  state.failed.push_back({address, now});
  if (state.failed.size() < kFailedEndpoints ||
      !OthersAnswer(failure_domain, now)) {
    return;
  }
  const unsigned doublings = std::min(state.openings, kMostDoublings);
  ++state.openings;
  state.failed.clear();
  state.open_until =
      now + FromSeconds(kFirstOpening * static_cast<double>(1U << doublings));
}

bool domain_circuit::Open(const std::string& failure_domain,
                          time_point now) const {
  const auto found = domains_.find(failure_domain);
  return found != domains_.end() && now < found->second.open_until;
}

// Without an answer from elsewhere the fault is as likely this host's own
// network, and closing every domain would turn it into a full outage.
bool domain_circuit::OthersAnswer(const std::string& failure_domain,
                                  time_point now) const {
  return std::any_of(domains_.begin(), domains_.end(), [&](const auto& entry) {
    return entry.first != failure_domain &&
           entry.second.answered != time_point{} &&
           now - entry.second.answered <= kAnsweredLately;
  });
}

}  // namespace slatestall
