#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief A model that engines of one service should hold.
/// @ingroup policy
struct model_demand {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  std::uint32_t replicas = 1;

  /// @brief "name@version", as engines report it.
  std::string Label() const { return name + "@" + version; }
};

/// @brief One engine as last reported.
struct engine_state {
  std::string address;
  std::string failure_domain;
  bool leaving = false;
  bool reported = false;         ///< False: nothing is known of what it holds.
  std::set<std::string> models;  ///< "name@version".
  std::set<std::string> adapters;
};

/// @brief What one engine should hold: a state, not a step, so that orders
/// may be repeated, lost or late without harm.
struct engine_order {
  std::string address;
  std::set<std::string> models;
  std::set<std::string> adapters;

  friend bool operator==(const engine_order&, const engine_order&) = default;
};

/// @brief The models that the stages of `service` name.
std::vector<model_demand> DemandOf(const configuration& content,
                                   const std::string& service);

/// @brief Which engines should hold which models in the end; by rank of a
/// hash, over the failure domains, so that little moves when engines change.
/// @return Model names by engine, in the order of `engines`.
std::vector<std::set<std::string>> PlaceModels(
    const std::vector<model_demand>& demand,
    const std::vector<engine_state>& engines);

/// @brief The orders that bring the engines nearer to where they should be.
/// At most a quarter of a model's engines change at once, and what is no
/// longer wanted goes only when its replacement is reported.
/// @param available Labels whose weights can be loaded now.
std::vector<engine_order> PlanOrders(const std::vector<model_demand>& demand,
                                     const std::vector<engine_state>& engines,
                                     const std::set<std::string>& available);

}  // namespace slatestall
