#pragma once

#include <cstdint>
#include <string>

namespace slatestall {

struct listen_address {
  std::string ip;
  std::uint16_t port = 0;  ///< 0: any free port.
};

/// @throws std::invalid_argument where `text` is not "IP:port".
listen_address ParseListenAddress(const std::string& text);

}  // namespace slatestall
