#pragma once

#include <chrono>
#include <cstdint>
#include <map>
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
  std::string listen = "127.0.0.1:8080";       ///< Callers.
  std::string operator_listen;                 ///< Operators; empty: `listen`.
  std::string peer_listen = "127.0.0.1:8081";  ///< Other hosts.
  std::string peer_address;  ///< As others reach it; empty: `peer_listen`.
  std::string log_url;       ///< Platform's log, "http://IP:port".
  std::string host_list_url;
  std::string weight_store_url;  ///< Empty: none.
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
  /// SHA-256 digests of operators' keys; empty: /v1/admin/ is open.
  std::vector<std::string> operator_key_hashes;
  std::string record_path;  ///< Trace to write; empty: none.
  std::uint32_t record_max_bytes = 64U << 20U;
};

/// @brief Where settings come from, the later over the earlier.
struct settings_sources {
  std::string file;  ///< Path of a YAML file; empty: none.
  /// Variables such as SLATESTALL_LISTEN; others are ignored.
  std::map<std::string, std::string> environment;
  /// Field name to value, from the command line.
  std::map<std::string, std::string> flags;
};

/// @brief Settings read from all sources; usable only without problems.
struct loaded_settings {
  settings content;
  std::vector<config_problem> problems;

  bool Ok() const { return problems.empty(); }
};

/// @brief Reads and checks the settings and reports every problem of them.
/// Never throws on bad input.
loaded_settings LoadSettings(const settings_sources& sources);

/// @brief One setting as the command line shows it.
struct settings_flag {
  std::string field;     ///< "peer_listen", key of `settings_sources::flags`.
  std::string flag;      ///< "--peer-listen".
  std::string variable;  ///< "SLATESTALL_PEER_LISTEN".
  std::string help;
};

/// @brief A flag for every setting that is one value, for the program to
/// offer.
std::vector<settings_flag> SettingsFlags();

/// @brief The variables of this process that begin with SLATESTALL_.
std::map<std::string, std::string> SettingsEnvironment();

}  // namespace slatestall
