#pragma once

#include <string>

#include "slatestall/http/http_server.h"

namespace slatestall {

/// @brief Who makes a call, out of its headers.
struct call_identity {
  std::string attempt;  ///< "request/stage/attempt"
  std::string request;
  std::string stage;
  bool interactive = true;
};

/// @throws std::invalid_argument where X-Attempt-Id is missing.
call_identity IdentityOf(const http_request& request);

}  // namespace slatestall
