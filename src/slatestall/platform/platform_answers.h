#pragma once

#include "slatestall/http/http_client.h"
#include "slatestall/platform/host_list.h"
#include "slatestall/platform/log_service.h"
#include "slatestall/platform/weight_store.h"

namespace slatestall {

/// @brief What an answer to an append proves.
append_result AppendResultOf(const http_result& result);

read_result ReadResultOf(const http_result& result);

host_list_result HostListOf(const http_result& result);

weight_result WeightResultOf(const http_result& result);

}  // namespace slatestall
