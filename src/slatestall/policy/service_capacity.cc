#include "slatestall/policy/service_capacity.h"

#include <algorithm>
#include <cmath>

namespace slatestall {
namespace {

// Arrivals at one of many threads vary like the square root of their number: a
// thread with a part of 4 slots needs twice that to use them, one with 100
// needs a fifth more. The excess waits at the endpoints for a moment.
constexpr double kSpread = 2;
// Engines run interactive calls first, so these may wait there.
constexpr double kInteractiveOvercommit = 1.25;
// Each refresh takes at most this multiple of its share of the idle slots, so
// that threads that see the same idle slots do not all take all of them.
constexpr double kIdleGain = 2;

struct slot_count {
  double slots = 0;
  double idle = 0;
};

slot_count CountSlots(const endpoint_set::candidates& endpoints,
                      const domain_circuit& circuit, time_point now) {
  slot_count count;
  for (const endpoint_state* state : endpoints) {
    if (state->Leaving() || state->Health().Ejected(now) ||
        circuit.Open(state->FailureDomain(), now)) {
      continue;
    }
    count.slots += state->Slots();
    if (state->Reports()) {
      count.idle += std::max(0.0, state->Slots() - state->Load(now));
    }
  }
  return count;
}

}  // namespace

service_capacity MeasureCapacity(const endpoint_set::subset& endpoints,
                                 const domain_circuit& circuit, double sharers,
                                 double in_flight, bool lending,
                                 time_point now) {
  const slot_count count = CountSlots(endpoints.endpoints, circuit, now);
  // Fewer threads share the slots of a subset than those of all endpoints.
  const double used = static_cast<double>(endpoints.endpoints.size());
  const double scale =
      used == 0 ? 1 : static_cast<double>(endpoints.holders) / used;
  const double part = count.slots * scale / sharers;
  const double share = std::max(1.0, part + kSpread * std::sqrt(part));
  // Borrowing starts from what is in flight, so it must need idle slots: added
  // to a full pool, any margin would grow by itself at each refresh.
  const double idle = count.idle * scale / sharers * kIdleGain;
  const double borrowed =
      lending && idle > 0 ? std::min(count.slots, in_flight + idle) : 0;
  return {std::max(share, borrowed),
          std::max(share * kInteractiveOvercommit, borrowed)};
}

}  // namespace slatestall
