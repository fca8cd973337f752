#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/peer/messages_generated.h"

namespace slatestall {

/// @brief Another host of the system as the platform's list names it.
/// @ingroup peer
struct peer_address {
  std::string host;     ///< Host name.
  std::string address;  ///< "IP:port" of its peer listener.
};

enum class peer_call_end {
  kReplied,
  kNotSent,  ///< No connection; the peer cannot have seen the request.
  kUnknown,  ///< Sent, but no reply: the peer may have acted.
};

struct peer_reply {
  peer_call_end end = peer_call_end::kUnknown;
  wire::messageUnion body;  ///< Valid for `kReplied`.
};

struct peer_node_options {
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  std::size_t max_frame_bytes = std::size_t{1} << 20U;
  std::size_t max_connections = 1024;
  std::size_t max_pending_bytes = std::size_t{4} << 20U;  ///< Per connection.
};

/// @brief Messages and bytes sent and received, by message kind.
struct peer_traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// @brief Talks to the other hosts: length-framed FlatBuffers over TCP. All
/// members are used from the thread that runs `context` only.
class peer_node {
 public:
  /// Answers a call; `reply` may be called later, once, from the same thread.
  using call_handler = std::function<void(
      const wire::messageUnion& request, const std::string& from_host,
      std::function<void(wire::messageUnion)> reply)>;
  using notice_handler = std::function<void(const wire::messageUnion& notice,
                                            const std::string& from_host)>;

  /// @throws std::system_error where the address cannot be bound.
  peer_node(asio::io_context& context, const host_id& self,
            const peer_node_options& options);
  ~peer_node();
  peer_node(const peer_node&) = delete;
  peer_node& operator=(const peer_node&) = delete;

  std::uint16_t Port() const;

  /// @brief Replaces the known peers. Connections are made on first use and
  /// dropped after idling, so that their number follows the fan-out.
  void SetPeers(const std::vector<peer_address>& peers);

  void Handle(wire::message kind, call_handler handler);
  void HandleNotice(wire::message kind, notice_handler handler);

  /// @brief Sends a request; `done` runs once, never from inside the call.
  void Call(const std::string& host, wire::messageUnion request,
            milliseconds timeout, std::function<void(peer_reply)> done);
  /// @brief Sends without an answer; dropped where the peer is unreachable.
  void Notify(const std::string& host, wire::messageUnion notice);

  const std::map<wire::message, peer_traffic>& Sent() const;
  const std::map<wire::message, peer_traffic>& Received() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
