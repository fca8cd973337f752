#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>

namespace slatestall {

/// @brief Reads and drops what a caller still sends, until it closes or a
/// short time or a number of bytes has passed; then closes.
void CloseLingering(asio::ip::tcp::socket socket, std::function<void()> done);

}  // namespace slatestall
