#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/admin_client.h"
#include "slatestall/model/configuration.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief One host as the asked host sees it.
struct host_view {
  std::string name;
  std::string http_address;  ///< Of operators, "IP:port"; empty: not known.
  config_revision revision = 0;
  milliseconds since{0};
  bool draining = false;
  bool reachable = false;
  bool behind = false;

  /// @brief Whether it drained and has ended; the platform's list still names
  /// it for a while.
  bool Gone() const { return !reachable && draining; }
};

/// @brief The system as one host sees it.
struct system_view {
  std::string asked_host;
  config_revision revision = 0;  ///< In force on the asked host.
  std::vector<host_view> hosts;  ///< The asked one too.
  bool log_reachable = false;
  std::string log_trust;
  nlohmann::json endpoints;
};

/// @throws std::invalid_argument where the JSON is no status.
system_view SystemViewFrom(const nlohmann::json& status);

/// @brief Asks `host` for its status; nothing where it cannot be had, with the
/// reason in `detail`.
std::optional<system_view> AskSystem(const send_admin_calls& send,
                                     const std::string& host,
                                     std::string& detail);

/// @brief Newest revision in force on any host.
config_revision NewestRevision(const system_view& view);

}  // namespace slatestall
