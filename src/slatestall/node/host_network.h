#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/peer/gossip_service.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/peer/share_service.h"
#include "slatestall/platform/host_list.h"
#include "slatestall/policy/membership_view.h"

namespace slatestall {

/// @brief What hosts tell each other: membership, leaving endpoints, the
/// configuration head, and shares of workspace limits. Used from the control
/// thread.
class host_network {
 public:
  /// @param peers Outlives this object.
  /// @param on_change Members, notices, head or shares changed.
  host_network(asio::io_context& context, peer_node& peers,
               const member_digest& self, const now_function& now,
               const std::function<void()>& on_change);

  void Start();

  void UseHostList(const std::vector<listed_host>& hosts);
  void UseConfiguration(const accepted_configuration& configuration);
  void SetDraining() { gossip_.SetDraining(); }
  void SetDrained(const std::string& successor) {
    gossip_.SetDrained(successor);
  }
  /// @brief This host saw an endpoint leave.
  void NoteLeaving(const std::string& address);
  void UseDemand(const std::map<std::string, workspace_demand>& demand);

  const membership_view& Members() const { return gossip_.View(); }
  /// @brief Leaving endpoints that any host told of.
  std::vector<endpoint_observation> Notices() const;
  config_revision HeadHeardOf() const { return gossip_.Head(); }
  std::map<std::string, workspace_share> Shares() const;
  /// @brief Hosts that a status may be asked of, this one excluded.
  std::vector<peer_address> Peers() const;

 private:
  const std::string self_;
  gossip_service gossip_;
  share_service shares_;
  bool list_seen_ = false;
};

}  // namespace slatestall
