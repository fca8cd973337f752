#include "slatestall/policy/order_planner.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <tuple>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

/// Of a model's engines, one part in so many changes at once.
constexpr std::size_t kPartChanging = 4;

/// One model while its engines are chosen.
class placement {
 public:
  placement(const model_demand& model, const std::vector<engine_state>& engines)
      : engines_(engines), ranks_(engines.size()) {
    for (std::size_t i = 0; i < engines.size(); ++i) {
      ranks_[i] = StableHash(model.name + '\n' + engines[i].address);
    }
  }

  /// The next engine: first one below the cap, then one of a failure domain
  /// that has few, then by rank.
  std::size_t Next(const std::vector<std::size_t>& held, std::size_t cap) {
    std::size_t best = engines_.size();
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const bool usable = !engines_[i].leaving && chosen_.count(i) == 0;
      if (usable && (best == engines_.size() ||
                     KeyOf(i, held, cap) < KeyOf(best, held, cap))) {
        best = i;
      }
    }
    if (best != engines_.size()) {
      chosen_.insert(best);
      ++by_domain_[engines_[best].failure_domain];
    }
    return best;
  }

 private:
  std::tuple<bool, std::size_t, std::uint64_t> KeyOf(
      std::size_t i, const std::vector<std::size_t>& held, std::size_t cap) {
    return {held[i] >= cap, by_domain_[engines_[i].failure_domain], ranks_[i]};
  }

  const std::vector<engine_state>& engines_;
  std::vector<std::uint64_t> ranks_;
  std::set<std::size_t> chosen_;
  std::map<std::string, std::size_t> by_domain_;
};

std::size_t CapOf(const std::vector<model_demand>& demand,
                  const std::vector<engine_state>& engines) {
  const auto usable = static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(),
                    [](const auto& engine) { return !engine.leaving; }));
  const auto wanted = std::accumulate(
      demand.begin(), demand.end(), std::size_t{0},
      [usable](std::size_t sum, const auto& model) {
        return sum + std::min<std::size_t>(model.replicas, usable);
      });
  return usable == 0 ? 1
                     : std::max<std::size_t>(1, (wanted + usable - 1) / usable);
}

bool NameIs(const std::string& label, const std::string& name) {
  return label.size() > name.size() && label[name.size()] == '@' &&
         label.compare(0, name.size(), name) == 0;
}

bool HoldsAdapters(const engine_state& engine, const model_demand& model) {
  return std::all_of(
      model.adapters.begin(), model.adapters.end(),
      [&engine](const auto& name) { return engine.adapters.count(name) != 0; });
}

bool IsReady(const engine_state& engine, const model_demand& model) {
  return engine.reported && engine.models.count(model.Label()) != 0 &&
         HoldsAdapters(engine, model);
}

/// How far one model has come over the engines that should hold it.
struct rollout {
  std::size_t targets = 0;
  std::size_t ready = 0;
  std::set<std::string> may_change;  ///< Addresses.
};

rollout RolloutOf(const model_demand& model,
                  const std::vector<engine_state>& engines,
                  const std::vector<std::set<std::string>>& places,
                  const std::set<std::string>& available) {
  rollout state;
  std::vector<const engine_state*> waiting;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (places[i].count(model.name) == 0) {
      continue;
    }
    ++state.targets;
    if (IsReady(engines[i], model)) {
      ++state.ready;
    } else if (engines[i].reported) {
      waiting.push_back(&engines[i]);
    }
  }
  if (available.count(model.Label()) == 0) {
    return state;
  }
  // The first of a fixed order, so that an engine that is loading stays among
  // them from one plan to the next.
  std::sort(waiting.begin(), waiting.end(),
            [](const auto* left, const auto* right) {
              return left->address < right->address;
            });
  waiting.resize(std::min(
      waiting.size(), std::max<std::size_t>(1, state.targets / kPartChanging)));
  for (const auto* engine : waiting) {
    state.may_change.insert(engine->address);
  }
  return state;
}

/// What `engine` should hold of `model` now.
void AddModel(const model_demand& model, const rollout& state, bool is_target,
              const engine_state& engine, engine_order& order) {
  if (is_target &&
      (IsReady(engine, model) || state.may_change.count(engine.address) != 0)) {
    order.models.insert(model.Label());
    order.adapters.insert(model.adapters.begin(), model.adapters.end());
    return;
  }
  // What it holds of the model serves until the wanted replicas are ready;
  // dropped before, a new version would begin with an outage.
  if (!is_target && state.targets > 0 && state.ready == state.targets) {
    return;
  }
  for (const auto& label : engine.models) {
    if (NameIs(label, model.name)) {
      order.models.insert(label);
      std::copy_if(
          model.adapters.begin(), model.adapters.end(),
          std::inserter(order.adapters, order.adapters.end()),
          [&engine](const auto& a) { return engine.adapters.count(a) != 0; });
    }
  }
}

/// Models that are wanted no more stay while others are still being loaded:
/// one of them may be what serves under its old name.
void KeepOthers(const std::vector<model_demand>& demand,
                const engine_state& engine, engine_order& order) {
  for (const auto& label : engine.models) {
    const bool is_demanded = std::any_of(
        demand.begin(), demand.end(),
        [&label](const auto& model) { return NameIs(label, model.name); });
    if (!is_demanded) {
      order.models.insert(label);
      order.adapters.insert(engine.adapters.begin(), engine.adapters.end());
    }
  }
}

}  // namespace

std::vector<model_demand> DemandOf(const configuration& content,
                                   const std::string& service) {
  std::set<std::string> named;
  for (const auto& [name, pipeline] : content.pipelines) {
    for (const auto& stage : pipeline.stages) {
      if (stage.service == service) {
        named.insert(stage.model);
      }
    }
  }
  std::vector<model_demand> demand;
  for (const auto& name : named) {
    if (const auto found = content.models.find(name);
        found != content.models.end()) {
      const auto& model = found->second;
      demand.push_back({name, model.version, model.adapters, model.replicas});
    }
  }
  return demand;
}

std::vector<std::set<std::string>> PlaceModels(
    const std::vector<model_demand>& demand,
    const std::vector<engine_state>& engines) {
  std::vector<std::set<std::string>> places(engines.size());
  std::vector<std::size_t> held(engines.size(), 0);
  const auto cap = CapOf(demand, engines);
  for (const auto& model : demand) {
    placement choice(model, engines);
    for (std::uint32_t i = 0; i < model.replicas; ++i) {
      const auto engine = choice.Next(held, cap);
      if (engine == engines.size()) {
        break;
      }
      places[engine].insert(model.name);
      ++held[engine];
    }
  }
  return places;
}

std::vector<engine_order> PlanOrders(const std::vector<model_demand>& demand,
                                     const std::vector<engine_state>& engines,
                                     const std::set<std::string>& available) {
  // A service that no pipeline names may be on its way in or out: its engines
  // are left alone.
  if (demand.empty()) {
    return {};
  }
  const auto places = PlaceModels(demand, engines);
  std::vector<engine_order> wanted(engines.size());
  bool all_ready = true;
  std::set<std::string> changing;
  for (const auto& model : demand) {
    const auto state = RolloutOf(model, engines, places, available);
    all_ready = all_ready && state.ready == state.targets;
    changing.insert(state.may_change.begin(), state.may_change.end());
    for (std::size_t i = 0; i < engines.size(); ++i) {
      AddModel(model, state, places[i].count(model.name) != 0, engines[i],
               wanted[i]);
    }
  }
  std::vector<engine_order> orders;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const auto& engine = engines[i];
    if (!all_ready && changing.count(engine.address) == 0) {
      KeepOthers(demand, engine, wanted[i]);
    }
    const bool differs = wanted[i].models != engine.models ||
                         wanted[i].adapters != engine.adapters;
    if (engine.reported && !engine.leaving && differs) {
      wanted[i].address = engine.address;
      orders.push_back(std::move(wanted[i]));
    }
  }
  return orders;
}

}  // namespace slatestall
