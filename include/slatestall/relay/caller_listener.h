#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "slatestall/model/time.h"
#include "slatestall/relay/message_reader.h"
#include "slatestall/relay/unread_budget.h"

namespace slatestall {

/// @brief One request as it arrived, body included.
/// @ingroup relay
struct inbound_request {
  message_head head;
  std::string body;
  time_point arrived{};       ///< When its last byte was read.
  std::uint64_t earlier = 0;  ///< Requests before it on its connection.
};

/// @brief The answer to one request. Dropped without one, it closes the
/// connection. Calls after the answer ended, or the caller left, do nothing.
class answer_channel {
 public:
  virtual ~answer_channel() = default;

  /// @brief Sends a whole answer. Framing headers are added here.
  virtual void Send(int status, const http_headers& headers,
                    std::string body) = 0;
  /// @brief Starts an answer whose length is not known.
  virtual void Start(int status, const http_headers& headers) = 0;
  virtual void Write(std::string bytes) = 0;
  /// @brief Ends a started answer as whole.
  virtual void Finish() = 0;
  /// @brief Closes the connection, so that the answer is seen to be cut.
  virtual void Abort() = 0;
  /// @brief Sets what runs, once, when the caller leaves before the end.
  virtual void OnCallerGone(std::function<void()> hook) = 0;
};

using answer_channel_ptr = std::shared_ptr<answer_channel>;
using request_hook = std::function<void(inbound_request, answer_channel_ptr)>;

/// @brief Bounds of callers' connections; may change while it listens.
struct caller_limits {
  message_limits message;
  milliseconds head_timeout{10'000};  ///< From a request's first byte to last.
  milliseconds idle_timeout{60'000};  ///< Between requests.
};

/// @brief A connection that was closed for the sum of unread bytes.
struct unread_close {
  std::size_t bytes = 0;  ///< That its caller had not read.
  std::size_t total = 0;  ///< Of all callers, these included.
};

struct caller_listener_options {
  std::string address;
  std::uint16_t port = 0;  ///< 0: any free one.
  /// Above it, connections wait in the listening socket's backlog.
  std::size_t max_connections = 1024;
  /// Answer bytes that a caller may leave unread before it is cut off.
  std::size_t max_unread_bytes = std::size_t{1} << 20U;
  /// Bounds what all callers together leave unread; null: not bounded.
  std::shared_ptr<unread_budget> unread;
  /// A caller was cut off for this bound; must not use the listener.
  std::function<void(const unread_close&)> on_unread_closed;
  now_function now;
};

/// @brief Takes callers' connections and hands on whole requests, one at a
/// time for each connection; used from one thread only.
class caller_listener {
 public:
  /// @throws std::system_error where the address cannot be bound.
  caller_listener(asio::io_context& context,
                  const caller_listener_options& options, request_hook hook);
  ~caller_listener();
  caller_listener(const caller_listener&) = delete;
  caller_listener& operator=(const caller_listener&) = delete;

  std::uint16_t Port() const;
  /// @brief Holds for all connections, kept ones included. Until it is first
  /// called, what exceeds the built-in limits is refused as not run.
  void SetLimits(const caller_limits& limits);
  /// @brief From now on each answer is the last of its connection.
  void AnnounceClose();
  /// @brief Takes no new connection, and closes those that are between two
  /// requests.
  void StopAccepting();
  std::size_t Connections() const;
  /// @brief Connections whose end now would cut somebody: with an answer that
  /// is not wholly written, a request that is being read, or one on its way.
  std::size_t Busy() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
