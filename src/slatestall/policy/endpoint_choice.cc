#include "slatestall/policy/endpoint_choice.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

constexpr std::size_t kDraws = 2;
constexpr std::size_t kFewEndpoints = 2;  // Up to here all are compared.
constexpr std::size_t kMostMisses = 8;

constexpr double kCrossDomainTime = 0.0005;  // Seconds; a bit above measured.
constexpr double kUnknownTime = 0.05;        // Seconds, before any answer.
constexpr double kAdapterLoadTime = 0.2;     // Seconds to load an adapter.
constexpr double kColdFactor = 3;  // Loss of an endpoint just returned.
// A holder of the prefix is believed by own memory or by its cache events;
// events are late, so they count for less.
constexpr double kEventConfidence = 0.7;
// Other hosts send prompts with the prefix to its home, too.
constexpr double kHomeConfidence = 0.7;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool Holds(const endpoint_view& view, std::uint64_t prefix) {
  return view.cached_prefixes != nullptr &&
         std::binary_search(view.cached_prefixes->begin(),
                            view.cached_prefixes->end(), prefix);
}

}  // namespace

endpoint_choice::endpoint_choice(routing_rule rule, std::string failure_domain,
                                 bool slow_start)
    : rule_(rule),
      failure_domain_(std::move(failure_domain)),
      slow_start_(slow_start) {}

endpoint_state* endpoint_choice::Choose(
    const endpoint_set::candidates& candidates, const choice_request& request,
    const domain_circuit& circuit, random_generator& random, time_point now) {
  if (candidates.empty()) {
    return nullptr;
  }
  if (rule_ == routing_rule::kRoundRobin) {
    return NextInTurn(candidates, request, circuit, now);
  }
  if (rule_ == routing_rule::kLeastInFlight) {
    return LeastInFlight(candidates, request, circuit, now);
  }
  endpoint_state* chosen =
      candidates.size() <= kFewEndpoints
          ? BestOfAll(candidates, request, circuit, fitness::kGood, now)
          : BestOfSome(candidates, request, circuit, random, now);
  if (chosen != nullptr) {
    return chosen;
  }
  // Nothing healthy is left: an ejected endpoint may still answer, and a
  // refusal certainly does not.
  return BestOfAll(candidates, request, circuit, fitness::kLastResort, now);
}

void endpoint_choice::Sent(const std::vector<std::uint64_t>& prefixes,
                           const std::string& address) {
  for (const std::uint64_t prefix : prefixes) {
    memory_.Remember(prefix, address);
  }
}

endpoint_choice::fitness endpoint_choice::Fitness(const endpoint_state& state,
                                                  const choice_request& request,
                                                  const domain_circuit& circuit,
                                                  time_point now) {
  if (state.Leaving() || Contains(*request.tried, state.Address())) {
    return fitness::kUnusable;
  }
  const endpoint_health& health = state.Health();
  if (health.Ejected(now) || health.Paused(now) ||
      circuit.Open(state.FailureDomain(), now)) {
    return fitness::kLastResort;
  }
  return fitness::kGood;
}

endpoint_state* endpoint_choice::NextInTurn(
    const endpoint_set::candidates& candidates, const choice_request& request,
    const domain_circuit& circuit, time_point now) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    endpoint_state* state = candidates[turn_++ % candidates.size()];
    if (Fitness(*state, request, circuit, now) != fitness::kUnusable) {
      return state;
    }
  }
  return nullptr;
}

// Equal counts go in turn, or a quiet thread would always use the first one.
endpoint_state* endpoint_choice::LeastInFlight(
    const endpoint_set::candidates& candidates, const choice_request& request,
    const domain_circuit& circuit, time_point now) {
  endpoint_state* least = nullptr;
  const std::size_t first = turn_++;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    endpoint_state* state = candidates[(first + i) % candidates.size()];
    if (Fitness(*state, request, circuit, now) != fitness::kUnusable &&
        (least == nullptr || state->InFlight() < least->InFlight())) {
      least = state;
    }
  }
  return least;
}

endpoint_state* endpoint_choice::BestOfAll(
    const endpoint_set::candidates& candidates, const choice_request& request,
    const domain_circuit& circuit, fitness least, time_point now) const {
  draw_state draw;
  for (endpoint_state* state : candidates) {
    if (Fitness(*state, request, circuit, now) >= least) {
      Consider(state, request, now, 0, draw);
    }
  }
  return draw.best;
}

// A few random draws instead of the best of all: hosts that share the same old
// load reports would otherwise all rush to the same endpoint.
endpoint_state* endpoint_choice::BestOfSome(
    const endpoint_set::candidates& candidates, const choice_request& request,
    const domain_circuit& circuit, random_generator& random,
    time_point now) const {
  draw_state draw;
  std::size_t found = 0;
  for (std::size_t misses = 0; found < kDraws && misses < kMostMisses;) {
    endpoint_state* state = candidates[random.Below(candidates.size())];
    if (Fitness(*state, request, circuit, now) != fitness::kGood) {
      ++misses;
      continue;
    }
    ++found;
    Consider(state, request, now, 0, draw);
  }
  endpoint_state* home = PrefixHome(candidates, request);
  if (home != nullptr &&
      Fitness(*home, request, circuit, now) == fitness::kGood) {
    Consider(home, request, now, kHomeConfidence * request.prefix_time, draw);
  }
  if (draw.best != nullptr) {
    return draw.best;
  }
  return BestOfAll(candidates, request, circuit, fitness::kGood, now);
}

// Every host ranks the endpoints alike for a prefix, so that prompts with it
// meet at one endpoint without a word between the hosts.
endpoint_state* endpoint_choice::PrefixHome(
    const endpoint_set::candidates& candidates, const choice_request& request) {
  if (request.prefixes->empty()) {
    return nullptr;
  }
  const std::uint64_t prefix = request.prefixes->front();
  endpoint_state* home = nullptr;
  std::uint64_t highest = 0;
  for (endpoint_state* state : candidates) {
    const std::uint64_t rank = random_generator(state->Rank() ^ prefix).Next();
    if (home == nullptr || rank > highest) {
      home = state;
      highest = rank;
    }
  }
  return home;
}

void endpoint_choice::Consider(endpoint_state* state,
                               const choice_request& request, time_point now,
                               double bonus, draw_state& draw) const {
  const double score = Score(*state, request, now) - bonus;
  if (draw.best == nullptr || score < draw.score) {
    draw = {state, score};
  }
}

double endpoint_choice::Score(const endpoint_state& state,
                              const choice_request& request,
                              time_point now) const {
  const double service =
      request.service_time > 0 ? request.service_time : kUnknownTime;
  const double mean = request.mean_time > 0 ? request.mean_time : service;
  const double per_slot = (state.Load(now) + 1) / state.Slots();
  // Within its slots a batching engine still slows down with each call.
  const double queueing = per_slot > 1 ? (per_slot - 1) * mean : 0;
  double seconds = queueing + service * (1 + 0.5 * std::min(per_slot, 1.0));
  seconds *= state.Slowness(now);
  if (slow_start_) {
    seconds *= 1 + kColdFactor * (1 - state.Health().Ramp(now));
  }
  seconds -= request.prefix_time * CachedShare(state, request);
  if (!failure_domain_.empty() && state.FailureDomain() != failure_domain_) {
    seconds += kCrossDomainTime;
  }
  if (!request.adapter.empty() &&
      !Contains(state.View().load.adapters, request.adapter)) {
    seconds += kAdapterLoadTime;
  }
  return seconds;
}

// Prefix lengths double, so the longest match among n prefixes stands for
// 2^-(misses) of the prompt.
double endpoint_choice::CachedShare(const endpoint_state& state,
                                    const choice_request& request) const {
  double share = 1;
  const std::vector<std::uint64_t>& prefixes = *request.prefixes;
  for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
    if (memory_.Find(*prefix) == state.Address()) {
      return share;
    }
    if (Holds(state.View(), *prefix)) {
      return share * kEventConfidence;
    }
    share /= 2;
  }
  return 0;
}

}  // namespace slatestall
