#pragma once

#include <functional>
#include <string>
#include <vector>

#include "slatestall/http/http_server.h"
#include "slatestall/node/config_follower.h"
#include "slatestall/node/host_status.h"

namespace slatestall {

struct admin_answer {
  int status = 200;
  std::string body;  ///< JSON.
};

using admin_reply = std::function<void(admin_answer)>;

/// @brief How many endpoints of a service are known, leave and report.
struct service_status {
  std::string name;
  std::size_t known = 0;
  std::size_t leaving = 0;
  std::size_t reporting = 0;
};

/// @brief All that GET /v1/admin/status tells.
struct system_status {
  host_status self;
  std::vector<host_status> hosts;  ///< This one too.
  std::vector<service_status> services;
  bool log_reachable = false;
  log_trust trust = log_trust::kStarting;
};

/// @brief What the operators' interface can do.
struct admin_actions {
  std::function<void(std::function<void(system_status)>)> status;
  std::function<void(config_revision base, std::string source,
                     std::function<void(publish_result)>)>
      publish;
  std::function<accepted_configuration_ptr()> configuration;
  std::function<void()> drain;
  std::function<std::string(const std::string& request)> explain;
  std::function<std::string()> report;
};

/// @brief The answer to a call without an operator's key.
admin_answer UnauthorizedAnswer();

/// @brief Answers one call under /v1/admin/.
void HandleAdmin(const admin_actions& actions, const http_request& request,
                 const admin_reply& reply);

}  // namespace slatestall
