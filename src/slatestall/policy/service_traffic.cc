#include "slatestall/policy/service_traffic.h"

#include <algorithm>

namespace slatestall {
namespace {

// Ejection stops while this share of the endpoints is left: when most look
// broken, the fault is more likely elsewhere, and the rest would be crushed.
constexpr double kLeastLeft = 0.5;
constexpr double kOutlierSlowness = 4;

}  // namespace

service_traffic::service_traffic(const traffic_policy_options& options)
    : options_(options),
      endpoints_(options.host_name),
      choice_(options.routing,
              options.domain_locality ? options.failure_domain : "",
              options.slow_start) {}

void service_traffic::Update(const service_view& view, std::uint32_t live_hosts,
                             time_point now) {
  kind_ = view.config.kind;
  repeatable_ = view.config.repeatable;
  sharers_ = static_cast<double>(std::max(1U, options_.lanes)) *
             std::max(1U, live_hosts);
  endpoints_.Update(view, live_hosts, now);
  for (auto& [model, pool] : pools_) {
    pool.MarkStale();
  }
}

bool service_traffic::Idle() const {
  return endpoints_.Idle() &&
         std::all_of(pools_.begin(), pools_.end(),
                     [](const auto& entry) { return entry.second.Idle(); });
}

stage_pool& service_traffic::Pool(const std::string& model) {
  return pools_.try_emplace(model, options_).first->second;
}

stage_pool& service_traffic::FreshPool(const std::string& model,
                                       const domain_circuit& circuit,
                                       time_point now) {
  stage_pool& pool = Pool(model);
  pool.Refresh(endpoints_.For(model), circuit, sharers_, now);
  return pool;
}

void service_traffic::JudgeHealth(endpoint_state& state, bool at_most_once,
                                  time_point now) {
  if (!options_.ejection || state.Health().Ejected(now) ||
      !MayEjectOneMore(now)) {
    return;
  }
  if (state.Health().ShouldEject(repeatable_ && !at_most_once)) {
    state.Health().Eject(now);
  } else if (state.LearnedSlowness() > kOutlierSlowness) {
    state.EjectAsOutlier(now);
  }
}

bool service_traffic::MayEjectOneMore(time_point now) const {
  const auto& listed = endpoints_.Listed();
  const auto left = static_cast<double>(std::count_if(
      listed.begin(), listed.end(),
      [&](const auto* state) { return !state->Health().Ejected(now); }));
  return left - 1 >= kLeastLeft * static_cast<double>(listed.size());
}

}  // namespace slatestall
