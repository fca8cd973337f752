#pragma once

#include <functional>
#include <memory>
#include <string>

#include "slatestall/gateway/endpoint_protocol.h"
#include "slatestall/gateway/gateway_options.h"
#include "slatestall/gateway/platform_link.h"
#include "slatestall/http/http_client.h"

namespace slatestall {

/// @brief What ties a gateway host to a platform.
/// @ingroup gateway
struct gateway_adapter {
  endpoint_protocol protocol;
  /// Makes the link on the control thread; the client outlives it.
  std::function<platform_link(http_client&, const gateway_options&)> link;
  /// Path that the balancer asks for readiness.
  std::string ready_path;
};

/// @brief One host of the gateway: forwards callers' requests to endpoints by
/// the configuration and the endpoints that the platform's store names.
///
/// Two threads: one follows the store, one serves. Nothing is kept on disk.
class gateway_host {
 public:
  /// @throws std::system_error where an address cannot be bound.
  /// @param settings_file Read again on SIGHUP and when it changes; may be
  /// empty.
  gateway_host(const gateway_options& options, gateway_adapter adapter,
               const std::string& settings_file);
  ~gateway_host();
  gateway_host(const gateway_host&) = delete;
  gateway_host& operator=(const gateway_host&) = delete;

  /// @brief Serves until SIGTERM or SIGINT and the end of what is in hand.
  void Run();
  /// @brief Begins a graceful shutdown; from any thread.
  void Drain();

  std::uint16_t FrontPort() const;
  std::uint16_t StatusPort() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
