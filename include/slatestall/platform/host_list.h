#pragma once

#include <functional>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief One line of the platform's lagging list.
/// @ingroup platform
struct listed_host {
  std::string service;  ///< Name of the service; `kEntryService` for our own.
  endpoint where;       ///< Address that callers and peers use.
  std::string name;     ///< Host name; for our own hosts, as in settings.
  bool leaving = false;

  friend bool operator==(const listed_host&, const listed_host&) = default;
};

/// Service name under which the platform lists the hosts of this system.
inline constexpr const char* kEntryService = "slatestall";

struct host_list_result {
  bool ok = false;
  std::vector<listed_host> hosts;
  std::string detail;
};

/// @brief Fetches the list; completions as in `log_service`.
using fetch_host_list =
    std::function<void(std::function<void(host_list_result)> done)>;

}  // namespace slatestall
