#pragma once

#include <string>

#include "slatestall/http/http_client.h"
#include "slatestall/platform/log_service.h"

namespace slatestall {

/// @brief The platform's log over HTTP.
/// @param client Outlives the service; both belong to the same thread.
/// @param url "http://IP:port".
/// @ingroup platform
log_service MakeLogClient(http_client& client, const std::string& url);

}  // namespace slatestall
