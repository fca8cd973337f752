#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/config/config_problem.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Settings of one slatestalld process.
/// @ingroup config
struct settings {
  std::string host_name;  ///< Unique among the hosts.
  std::string failure_domain;
  std::string listen = "127.0.0.1:8080";       ///< Callers and operators.
  std::string peer_listen = "127.0.0.1:8081";  ///< Other hosts.
  std::string log_url;  ///< Platform's log, "http://IP:port".
  std::string host_list_url;
  std::string weight_store_url;
  std::uint32_t traffic_threads = 1;
  std::string log_level = "info";
  std::uint32_t max_connections = 4096;
  std::uint32_t max_body_bytes = 1U << 20U;
  std::uint32_t claim_partitions = 8;
  std::string routing = "least-wait";
  /// How long the platform's log keeps records; the configuration is
  /// republished before half of it. 0: not known.
  std::chrono::seconds log_retention{0};
  /// How long a host that drains still takes what the balancer sends.
  milliseconds drain_grace{5000};
  std::string record_path;  ///< Trace to write; empty: none.
};

}  // namespace slatestall
