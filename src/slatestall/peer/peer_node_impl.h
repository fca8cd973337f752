#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/peer/peer_connection.h"
#include "slatestall/peer/peer_node.h"

namespace slatestall {

/// @brief Connections, calls in flight and handlers of one `peer_node`.
class peer_node::impl {
 public:
  impl(asio::io_context& context, const host_id& self,
       const peer_node_options& options);
  ~impl();
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  void SetPeers(const std::vector<peer_address>& peers);
  void Call(const std::string& host, wire::messageUnion request,
            milliseconds timeout, std::function<void(peer_reply)> done);
  void Notify(const std::string& host, wire::messageUnion notice);
  void Drop(const std::string& host);
  std::optional<duration> SilentFor(const std::string& host) const;

  std::map<wire::message, call_handler> call_handlers;
  std::map<wire::message, notice_handler> notice_handlers;
  hello_handler on_hello;
  std::map<wire::message, peer_traffic> sent;
  std::map<wire::message, peer_traffic> received;
  peer_counters counters;
  std::size_t ConnectionCount() const { return links_.size(); }
  std::size_t UnsentBytes() const { return *unsent_; }

 private:
  using link_id = std::uint64_t;

  /// One connection and what depends on it.
  struct link {
    std::shared_ptr<peer_connection> connection;
    bool dialed = false;
    bool retired = false;     ///< Takes no new call; closes after its last.
    bool is_contact = false;  ///< Dialed by address, whoever answers there.
    host_id peer;             ///< The incarnation is 0 before the hello.
    std::set<std::uint64_t> calls;
    std::size_t serving = 0;
  };
  struct peer {
    std::optional<asio::ip::tcp::endpoint> where;  ///< None: cannot be read.
    link_id dialed = 0;                            ///< 0: not connected.
    bool is_contact = false;                       ///< As in `peer_address`.
    time_point retry_at{};
    milliseconds backoff{0};
  };
  struct pending_call {
    link_id via = 0;
    wire::message reply_kind = wire::message::NONE;
    std::function<void(peer_reply)> done;
    std::unique_ptr<asio::steady_timer> timeout;
  };
  struct responder;

  // Connections.
  void Accept();
  void TakeSocket(asio::ip::tcp::socket socket);
  link_id AddLink(asio::ip::tcp::socket socket, bool dialed);
  link* Dial(const std::string& host, std::string* detail);
  void Retire(link_id id);
  void OnClosed(link_id id, const std::string& reason);
  void Tick();
  void ScheduleTick();

  // Hellos.
  void OnHello(link_id id, const wire::helloT& hello);
  void Refuse(link_id id, const std::string& detail);
  void NoteIncarnation(link_id id);
  std::string EncodeHello();

  // Frames.
  void OnFrame(link_id id, wire::frameT frame, std::size_t bytes);
  void OnReply(link_id id, wire::frameT frame);
  void OnRequest(link_id id, const wire::frameT& frame);
  void SendReply(link_id id, std::uint64_t call, wire::messageUnion reply);
  std::string Encode(const wire::frameT& frame);
  void CountSent(wire::message kind, std::size_t bytes);

  // Calls.
  void EndCall(std::uint64_t call, peer_call_end end,
               const std::string& detail);
  void OnTimeout(std::uint64_t call);
  void PostEnd(std::function<void(peer_reply)> done, std::string detail);

  asio::io_context& context_;
  host_id self_;
  peer_node_options options_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer tick_;
  asio::steady_timer accept_pause_;
  std::map<std::string, peer> peers_;
  std::map<link_id, link> links_;
  std::map<std::uint64_t, pending_call> pending_;
  std::map<std::string, std::uint64_t> incarnations_;
  /// Counted by the connections, which may outlive this object.
  std::shared_ptr<std::size_t> unsent_ = std::make_shared<std::size_t>(0);
  link_id next_link_ = 1;
  std::uint64_t next_call_ = 1;
  /// Expires with this object, so that late completions find nothing.
  std::shared_ptr<impl*> alive_;
};

}  // namespace slatestall
