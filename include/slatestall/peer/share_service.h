#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "slatestall/model/configuration.h"
#include "slatestall/model/time.h"
#include "slatestall/peer/peer_node.h"
#include "slatestall/policy/membership_view.h"
#include "slatestall/policy/share_types.h"

namespace slatestall {

/// @brief Keeps this host's shares of the workspace limits: asks the hosts
/// that allocate them, and allocates those this host is responsible for. Used
/// from the thread that runs `context` only; `peers` and `view` outlive it.
/// @ingroup peer
class share_service {
 public:
  /// @param on_change `Shares` changed.
  share_service(asio::io_context& context, peer_node& peers, now_function now,
                const membership_view& view, const share_rules& rules,
                std::function<void()> on_change);
  ~share_service();
  share_service(const share_service&) = delete;
  share_service& operator=(const share_service&) = delete;

  void Start();

  /// @brief Takes the workspaces of the configuration in force.
  void UseWorkspaces(const std::map<std::string, workspace_config>& workspaces);
  /// @brief What callers want of a workspace on this host now, refused
  /// requests included; best smoothed over some seconds.
  void UseDemand(const std::string& workspace, const workspace_demand& demand);

  std::map<std::string, workspace_share> Shares() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
