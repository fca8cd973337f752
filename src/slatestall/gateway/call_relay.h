#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "slatestall/gateway/gateway_environment.h"
#include "slatestall/relay/caller_listener.h"

namespace slatestall {

/// @brief Passes calls of other hosts on to endpoints that this host reaches.
///
/// Bytes go through unchanged. Endpoints are named by id, so that a call that
/// was meant for another one is not passed on.
/// @ingroup gateway
class call_relay {
 public:
  /// @throws std::system_error where the address cannot be bound.
  explicit call_relay(gateway_environment& environment);
  ~call_relay();
  call_relay(const call_relay&) = delete;
  call_relay& operator=(const call_relay&) = delete;

  std::uint16_t Port() const { return listener_.Port(); }
  /// @brief Calls that the end of this host would cut.
  std::size_t InHand() const { return *active_; }
  /// @brief Takes no new calls: the host stops.
  void Drain() { draining_ = true; }

 private:
  void Take(const inbound_request& request, const answer_channel_ptr& channel);

  gateway_environment& environment_;
  std::shared_ptr<std::size_t> active_ = std::make_shared<std::size_t>(0);
  bool draining_ = false;
  caller_listener listener_;
};

}  // namespace slatestall
