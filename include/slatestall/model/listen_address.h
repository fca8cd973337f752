#pragma once

#include <cstdint>
#include <string>

namespace slatestall {

/// @brief An address to listen on.
/// @ingroup node
struct listen_address {
  std::string address;
  std::uint16_t port = 0;
};

/// @brief Reads "IP:port", also "[IPv6]:port".
/// @throws std::invalid_argument where it is none.
listen_address ParseListenAddress(const std::string& text);

}  // namespace slatestall
