#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/admin_client.h"

namespace slatestall {

/// @brief The trace of a request, or where it was looked for.
struct request_search {
  std::optional<nlohmann::json> trace;
  std::string host;                    ///< Whose trace it is.
  std::vector<std::string> asked;      ///< Hosts that do not keep it.
  std::vector<std::string> not_asked;  ///< "host: why" of each not reached.
};

/// @brief Asks `host` and then all the others that its status names.
request_search FindRequest(const send_admin_calls& send,
                           const std::string& host, const std::string& request);

/// @brief What to tell of a search without a trace, a line each.
std::vector<std::string> DescribeMiss(const request_search& search,
                                      const std::string& request);

}  // namespace slatestall
