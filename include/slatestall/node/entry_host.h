#pragma once

#include <cstdint>
#include <memory>

#include "slatestall/config/settings.h"
#include "slatestall/model/time.h"
#include "slatestall/platform/platform_services.h"

namespace slatestall {

/// @brief One host of the system: the control thread and the traffic threads.
/// @ingroup node
class entry_host {
 public:
  /// @throws std::system_error where an address cannot be bound.
  /// @throws std::invalid_argument where a setting is none.
  entry_host(const settings& options, const make_platform_services& platform);
  ~entry_host();
  entry_host(const entry_host&) = delete;
  entry_host& operator=(const entry_host&) = delete;

  std::uint16_t Port() const;
  std::uint16_t PeerPort() const;
  /// @brief 0 where operators have no address of their own.
  std::uint16_t OperatorPort() const;

  /// @brief Serves until it has drained after SIGTERM, SIGINT, `Drain` or the
  /// operators' call.
  void Run();
  /// @brief Begins a graceful shutdown; from any thread.
  void Drain();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
