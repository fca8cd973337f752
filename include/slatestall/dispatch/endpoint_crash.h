#pragma once

#include <string>
#include <vector>

#include "slatestall/dispatch/request_digest.h"

namespace slatestall {

/// @brief An endpoint crashed, as one host has seen it.
/// @ingroup dispatch
struct endpoint_crash {
  std::string endpoint;  ///< Its id; one that starts again has another.
  std::string service;
  std::vector<request_digest> running;  ///< Calls of that host that it cut.
};

}  // namespace slatestall
