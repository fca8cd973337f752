#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "slatestall/http/http_client.h"
#include "slatestall/model/time.h"
#include "slatestall/relay/endpoint_call.h"

namespace slatestall {

/// @brief Runs one call to an endpoint and collects its answer.
/// @param timeout For the whole exchange.
/// @param hooks `on_end` runs before `done`.
/// @ingroup relay
void StartExchange(asio::io_context& context, endpoint_call_options options,
                   endpoint_call_hooks hooks, milliseconds timeout,
                   std::function<void(const http_result&)> done);

}  // namespace slatestall
