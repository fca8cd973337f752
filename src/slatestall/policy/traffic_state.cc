#include "slatestall/policy/traffic_state.h"

#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

// Hosts with the same seed must not draw the same numbers, or all would send
// to the same endpoints at the same time.
std::uint64_t SeedOf(const traffic_policy_options& options) {
  return StableHash(options.host_name, options.seed);
}

}  // namespace

traffic_state::traffic_state(traffic_policy_options chosen)
    : options(std::move(chosen)),
      snapshot(std::make_shared<const control_snapshot>()),
      random(SeedOf(options)) {}

void traffic_state::Use(const control_snapshot_ptr& next, time_point now) {
  if (next == nullptr) {
    return;
  }
  // The old snapshot stays until the endpoints point into the new one.
  const control_snapshot_ptr previous = std::exchange(snapshot, next);
  for (const auto& [name, view] : next->services) {
    std::unique_ptr<service_traffic>& service = services[name];
    if (service == nullptr) {
      service = std::make_unique<service_traffic>(options);
    }
    service->Update(view, next->live_hosts, now);
  }
  for (auto it = services.begin(); it != services.end();) {
    const bool listed = next->services.count(it->first) > 0;
    if (!listed) {
      it->second->Remove();
    }
    it = !listed && it->second->Idle() ? services.erase(it) : std::next(it);
  }
  if (next->configuration != nullptr &&
      next->configuration->revision != revision_) {
    UseConfiguration(*next->configuration);
  }
}

void traffic_state::UseConfiguration(const accepted_configuration& accepted) {
  revision_ = accepted.revision;
  const configuration& content = accepted.content;
  model_texts_.clear();
  for (const auto& [name, model] : content.models) {
    model_texts_[name] = name + "@" + model.version;
  }
  std::erase_if(pipelines, [&](const auto& entry) {
    return content.pipelines.count(entry.first) == 0;
  });
}

service_traffic* traffic_state::Service(const std::string& name) {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : found->second.get();
}

pipeline_statistics& traffic_state::Pipeline(const std::string& name) {
  return pipelines.try_emplace(name, options.retry_budget, options.hedge_budget)
      .first->second;
}

const std::string& traffic_state::ModelText(const std::string& name) const {
  const auto found = model_texts_.find(name);
  return found == model_texts_.end() ? name : found->second;
}

double traffic_state::WeightOf(const std::string& workspace) const {
  if (snapshot->configuration == nullptr) {
    return 1;
  }
  const auto& workspaces = snapshot->configuration->content.workspaces;
  const auto found = workspaces.find(workspace);
  return found == workspaces.end() ? 1 : found->second.weight;
}

}  // namespace slatestall
