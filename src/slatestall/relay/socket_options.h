#pragma once

#include <asio/ip/tcp.hpp>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Ends a connection whose peer has fallen silent without a reset:
/// after `silence` for unacknowledged bytes, and after a few seconds by
/// keep-alive probes where nothing is under way. Without both, a peer that
/// lost power holds its connections open for many minutes.
/// @ingroup relay
void LimitSilence(asio::ip::tcp::socket& socket, milliseconds silence);

}  // namespace slatestall
