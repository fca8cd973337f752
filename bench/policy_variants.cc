#include "policy_variants.h"

#include "slatestall/policy/replay.h"

namespace slatestall {
namespace {

policy_variant Without(const std::string& name,
                       bool traffic_policy_options::*part) {
  policy_variant variant{"no " + name, {}};
  variant.options.*part = false;
  return variant;
}

}  // namespace

std::vector<policy_variant> PolicyVariants(bool parts) {
  std::vector<policy_variant> variants{
      {"round robin", NaivePolicy()},
      {"least in flight", LeastInFlightPolicy()},
      {"policy", {}}};
  if (!parts) {
    return variants;
  }
  using options = traffic_policy_options;
  variants.push_back(Without("hedging", &options::hedging));
  variants.push_back(Without("ejection", &options::ejection));
  variants.push_back(Without("cache affinity", &options::cache_affinity));
  variants.push_back(Without("early refusal", &options::early_refusal));
  variants.push_back(Without("class reserves", &options::class_reserves));
  variants.push_back(Without("lending", &options::lending));
  variants.push_back(Without("domain locality", &options::domain_locality));
  variants.push_back(Without("domain circuit", &options::domain_circuit));
  constexpr double kNoBudget = 1e9;
  policy_variant retries{"no retry budget", {}};
  retries.options.retry_budget = kNoBudget;
  variants.push_back(retries);
  variants.push_back(Without("slow start", &options::slow_start));
  variants.push_back(Without("queueing", &options::queueing));
  variants.push_back(Without("learned timeouts", &options::learned_timeouts));
  policy_variant in_turn{"no least wait", {}};
  in_turn.options.routing = routing_rule::kRoundRobin;
  variants.push_back(in_turn);
  return variants;
}

}  // namespace slatestall
