#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/model/load_report.h"

namespace slatestall {

/// @brief What the control thread knows of one endpoint.
/// @ingroup policy
struct endpoint_view {
  endpoint where;
  load_report load;
  bool leaving = false;  ///< By list, by its own word or by a peer's.
  /// Hashes of prompt prefixes its cache is believed to hold, ascending; a
  /// hint. Null: not known.
  std::shared_ptr<const std::vector<std::uint64_t>> cached_prefixes;
};

struct service_view {
  service_config config;
  std::vector<endpoint_view> endpoints;
};

/// @brief This host's part of a workspace's limits, already divided over the
/// hosts. 0 in a field: no limit.
struct workspace_share {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double concurrency = 0;
};

/// @brief State that the control thread hands to the traffic threads. Never
/// changed after publication.
struct control_snapshot {
  accepted_configuration_ptr configuration;  ///< Null until one is in force.
  std::map<std::string, service_view> services;
  std::map<std::string, workspace_share> shares;
  std::uint32_t live_hosts = 1;  ///< Hosts of the system believed live.
  bool draining = false;
};

using control_snapshot_ptr = std::shared_ptr<const control_snapshot>;

/// @brief Cell by which one control thread publishes to traffic threads.
class snapshot_cell {
 public:
  void Publish(control_snapshot_ptr snapshot) {
    cell_.store(std::move(snapshot), std::memory_order_release);
  }
  control_snapshot_ptr Read() const {
    return cell_.load(std::memory_order_acquire);
  }

 private:
  std::atomic<control_snapshot_ptr> cell_{
      std::make_shared<const control_snapshot>()};
};

}  // namespace slatestall
