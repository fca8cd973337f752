#pragma once

#include <unistd.h>

#include <cstdint>
#include <string>

namespace slatestall {

/// @brief A loopback address that no other process uses.
///
/// A closed connection holds its port for a minute more, and a run of the
/// serve tests leaves thousands. On one address shared by all, a few runs
/// beside each other take every free port; a test then fails with "address
/// already in use", or finds a stranger listening at a port that it had closed.
/// Ports are counted for each address, and the 22 bits of a process id fit
/// into 127.64.0.0/10.
inline std::string LoopbackOfThisProcess() {
  const auto id = static_cast<std::uint32_t>(getpid());
  return "127." + std::to_string(64U + (id >> 16U) % 64U) + "." +
         std::to_string((id >> 8U) % 256U) + "." + std::to_string(id % 256U);
}

/// @brief `port` of this process's own loopback address, as "host:port".
inline std::string LoopbackAt(std::uint16_t port) {
  return LoopbackOfThisProcess() + ":" + std::to_string(port);
}

}  // namespace slatestall
