#pragma once

#include <functional>

#include "slatestall/http/http_client.h"
#include "slatestall/platform/host_list.h"
#include "slatestall/platform/log_service.h"
#include "slatestall/platform/weight_store.h"

namespace slatestall {

/// @brief What a host asks of the platform.
/// @ingroup platform
struct platform_services {
  log_service log;
  fetch_host_list hosts;
  fetch_weights weights;
};

/// @brief Makes them on the control thread; the client outlives them.
using make_platform_services = std::function<platform_services(http_client&)>;

}  // namespace slatestall
