#pragma once

#include <functional>
#include <string>

#include "slatestall/node/admin_api.h"
#include "slatestall/node/config_follower.h"
#include "slatestall/node/endpoint_directory.h"
#include "slatestall/node/host_network.h"
#include "slatestall/node/host_status.h"

namespace slatestall {

/// @brief What this host tells others and operators of itself.
class host_reporter {
 public:
  /// @param follower All arguments outlive this object.
  host_reporter(const host_id& self, now_function now, peer_node& peers,
                const config_follower& follower,
                const endpoint_directory& directory,
                const host_network& network);

  void InForceSince(time_point when) { in_force_since_ = when; }
  void SetPeerAddress(const std::string& address) { peer_address_ = address; }
  void SetHttpAddress(const std::string& address) { http_address_ = address; }
  void SetDraining() { draining_ = true; }

  host_status OwnStatus() const;
  /// @brief Asks all hosts for their status.
  void SystemStatus(const std::function<void(system_status)>& done);

 private:
  void AnswerHead(const wire::messageUnion& request,
                  const std::function<void(wire::messageUnion)>& reply) const;
  void AddLastWords(std::vector<host_status>& hosts) const;
  std::vector<service_status> ServiceStatuses() const;

  const host_id self_;
  const now_function now_;
  peer_node& peers_;
  const config_follower& follower_;
  const endpoint_directory& directory_;
  const host_network& network_;
  std::string peer_address_;
  std::string http_address_;
  time_point in_force_since_{};
  bool draining_ = false;
};

}  // namespace slatestall
