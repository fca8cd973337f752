#pragma once

#include <map>
#include <memory>
#include <string>

#include "slatestall/policy/domain_circuit.h"
#include "slatestall/policy/random_generator.h"
#include "slatestall/policy/service_traffic.h"
#include "slatestall/policy/stage_statistics.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief State that admission and stage planning of one thread share.
struct traffic_state {
  explicit traffic_state(traffic_policy_options chosen);

  /// @brief Takes a new snapshot into the services and pipelines.
  void Use(const control_snapshot_ptr& next, time_point now);

  /// @brief The service called `name`, or null.
  service_traffic* Service(const std::string& name);
  pipeline_statistics& Pipeline(const std::string& name);
  /// @brief "name@version" of a configured model, or `name` itself.
  const std::string& ModelText(const std::string& name) const;
  double WeightOf(const std::string& workspace) const;

  traffic_policy_options options;
  control_snapshot_ptr snapshot;
  random_generator random;
  domain_circuit circuit;
  std::map<std::string, std::unique_ptr<service_traffic>> services;
  std::map<std::string, pipeline_statistics> pipelines;

 private:
  void UseConfiguration(const accepted_configuration& accepted);

  config_revision revision_ = 0;
  std::map<std::string, std::string> model_texts_;
};

}  // namespace slatestall
