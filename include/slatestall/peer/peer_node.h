#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  /// Only the address is known: `host` is a name for it, and whichever host
  /// answers there is meant.
  bool is_contact = false;
};

enum class peer_call_end {
  kReplied,
  kNotSent,  ///< No connection; the peer cannot have seen the request.
  kUnknown,  ///< Sent, but no reply: the peer may have acted.
};

struct peer_reply {
  peer_call_end end = peer_call_end::kUnknown;
  wire::messageUnion body;  ///< `kReplied`: the reply or an `error_reply`.
  std::string detail{};     ///< Why there is no reply.
};

struct peer_node_options {
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  std::size_t max_frame_bytes = std::size_t{1} << 20U;
  std::size_t max_connections = 1024;
  std::size_t max_pending_bytes = std::size_t{4} << 20U;  ///< Per connection.
  std::size_t max_calls_served = 4096;  ///< Unanswered, per connection.
  milliseconds hello_timeout{5'000};
  milliseconds stall_timeout{10'000};  ///< For a half frame or a full socket.
  milliseconds idle_timeout{30'000};
  milliseconds first_backoff{100};  ///< Doubles with each failed connection.
  milliseconds max_backoff{5'000};
};

/// @brief What the node refused, dropped or noticed since its start.
struct peer_counters {
  std::uint64_t connections_made = 0;
  std::uint64_t connections_refused = 0;  ///< Too many, or a bad hello.
  std::uint64_t connections_broken = 0;   ///< Malformed, stalled or cut.
  std::uint64_t stray_replies = 0;        ///< Late, doubled or unasked.
  std::uint64_t notices_dropped = 0;
  std::uint64_t restarts_noticed = 0;
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
  using hello_handler = std::function<void(const host_id& peer)>;

  /// @throws std::system_error where the address cannot be bound.
  peer_node(asio::io_context& context, const host_id& self,
            const peer_node_options& options);
  /// Drops the calls in flight: their `done` does not run.
  ~peer_node();
  peer_node(const peer_node&) = delete;
  peer_node& operator=(const peer_node&) = delete;

  std::uint16_t Port() const;

  /// @brief Replaces the known peers. Connections are made on first use and
  /// dropped after idling, so that their number follows the fan-out.
  void SetPeers(const std::vector<peer_address>& peers);

  void Handle(wire::message kind, call_handler handler);
  void HandleNotice(wire::message kind, notice_handler handler);
  /// @brief Runs with the name and incarnation of each peer that connects or
  /// is connected to. An incarnation other than before: the peer restarted.
  void HandleHello(hello_handler handler);

  /// @brief Sends a request; `done` runs once, never from inside the call.
  void Call(const std::string& host, wire::messageUnion request,
            milliseconds timeout, std::function<void(peer_reply)> done);
  /// @brief Closes the connection made to a host; its calls end as unknown. For
  /// one that has fallen silent: the next use makes another connection.
  void Drop(const std::string& host);
  /// @brief For how long nothing has arrived from a host on the connection made
  /// to it; nothing where there is none.
  std::optional<duration> SilentFor(const std::string& host) const;
  /// @brief Sends without an answer; dropped where the peer is unreachable.
  void Notify(const std::string& host, wire::messageUnion notice);

  const std::map<wire::message, peer_traffic>& Sent() const;
  const std::map<wire::message, peer_traffic>& Received() const;
  const peer_counters& Counters() const;
  /// @brief Connections now held, made or accepted.
  std::size_t ConnectionCount() const;
  /// @brief Of all connections together, what is queued and not yet sent.
  std::size_t UnsentBytes() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
