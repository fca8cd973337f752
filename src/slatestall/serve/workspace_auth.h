#pragma once

#include <string>
#include <vector>

#include "slatestall/http/http_header.h"
#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief Whether the bearer key of `headers` has one of the digests.
bool HoldsKey(const std::vector<std::string>& key_hashes,
              const http_headers& headers);

/// @brief Whether the headers carry one of the workspace's keys; always true
/// for a workspace that lists none.
bool IsAuthorized(const workspace_config& workspace,
                  const http_headers& headers);

/// @brief Whether the workspace may call a pipeline or service.
bool HasRoute(const workspace_config& workspace, const std::string& name);

}  // namespace slatestall
