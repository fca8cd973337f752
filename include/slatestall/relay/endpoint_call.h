#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/relay/message_reader.h"

namespace slatestall {

/// @brief A sound endpoint, its connections too, may be silent for a second or
/// so. Probes go out each second: the second one must still count.
/// @ingroup relay
inline constexpr milliseconds kEndpointSilence{2500};

/// @brief How a call to an endpoint ended as seen on its connection.
/// @ingroup relay
enum class call_outcome {
  kComplete,      ///< A whole answer, of any status.
  kNotConnected,  ///< No connection was made: the endpoint has no byte of it.
  kNotRelayed,    ///< Nor did a host of `via` pass it on; the same is true.
  kWithdrawn,     ///< `may_send` said no: no byte left this host.
  kBroken,        ///< Reset or closed before the answer was whole.
  kMalformed,     ///< The bytes are no answer.
};

/// @brief Target of calls that a host is to pass on to an endpoint, which the
/// header names. The body has the bytes for the endpoint; the body of the
/// answer has the bytes from it, and is whole only if the endpoint ended the
/// connection in an orderly way.
inline constexpr const char* kRelayTarget = "/endpoint-connection";
inline constexpr const char* kRelayHeader = "Endpoint-Id";
/// The endpoint was not reached; it has no byte of the call.
inline constexpr int kRelayUnreachable = 502;

/// @brief A host that may pass the call on.
struct relay_hop {
  std::string host;
  asio::ip::tcp::endpoint address;
};

/// @brief The bytes to send and the bounds of the exchange.
struct endpoint_call_options {
  asio::ip::tcp::endpoint to;
  std::string request;   ///< Head and body, ready to be written.
  bool is_head = false;  ///< The answer to HEAD has no body.
  milliseconds connect_timeout{0};
  /// Longest time for which sent bytes may stay unacknowledged, and for which
  /// a silent connection goes unprobed. A peer without power answers nothing,
  /// so that only this ends a call to it.
  milliseconds silence_timeout{0};
  message_limits limits;
  /// Hosts to try one after the other before a direct connection.
  std::vector<relay_hop> via;
  std::string endpoint_id;  ///< For these hosts.
};

struct endpoint_call_hooks {
  /// Whether the request may still be sent, once the connection is made. Not
  /// set: it may.
  std::function<bool()> may_send;
  std::function<void(message_head&)> on_head;
  std::function<void(std::string)> on_body;
  /// A host of `via` does not pass the call on; the next one is tried.
  std::function<void(const std::string& host)> on_relay_refused;
  /// Once, unless cancelled; nothing follows.
  std::function<void(call_outcome)> on_end;
};

/// @brief One request and its answer on a connection of its own.
///
/// The connection is never kept. A kept one can have been closed by the
/// endpoint when the request goes out, and then nobody knows whether it ran;
/// it can also deliver a second or a late answer to an earlier request.
/// Keep it alive by the pointer until it ends; used from one thread only.
class endpoint_call : public std::enable_shared_from_this<endpoint_call> {
 public:
  endpoint_call(asio::io_context& context, endpoint_call_options options,
                endpoint_call_hooks hooks);
  ~endpoint_call();
  endpoint_call(const endpoint_call&) = delete;
  endpoint_call& operator=(const endpoint_call&) = delete;

  void Start();
  /// @brief Closes the connection; no hook runs any more. Endpoints drop a
  /// request whose connection is closed.
  void Cancel();
  /// @brief Whether a byte of the request may have reached the endpoint.
  bool MayHaveLeft() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
