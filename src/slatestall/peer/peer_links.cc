// Connections of a peer_node: accepting, dialing, hellos, idling.
#include <algorithm>
#include <stdexcept>
#include <utility>

#include "slatestall/peer/frame_codec.h"
#include "slatestall/peer/peer_node_impl.h"

namespace slatestall {
namespace {

using asio::ip::tcp;

constexpr std::size_t kMaxHostNameBytes = 255;
constexpr milliseconds kMinTick{5};
constexpr milliseconds kMaxTick{1'000};
constexpr milliseconds kAcceptPause{100};
// The accepting side waits longer than the dialing side, so that a call is
// never sent into a connection that the other side is just closing as idle.
constexpr int kAcceptedIdleFactor = 4;

time_point Now() { return std::chrono::steady_clock::now(); }

std::optional<tcp::endpoint> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string ip = text.substr(0, colon);
  if (ip.size() > 1 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string port = text.substr(colon + 1);
  constexpr std::size_t kMaxPortDigits = 5;
  constexpr unsigned long kMaxPort = 65535;  // NOLINT(google-runtime-int)
  if (port.empty() || port.size() > kMaxPortDigits ||
      port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoul(port) > kMaxPort) {
    return std::nullopt;
  }
  std::error_code error;
  const auto address = asio::ip::make_address(ip, error);
  if (error) {
    return std::nullopt;
  }
  return tcp::endpoint(address, static_cast<std::uint16_t>(std::stoul(port)));
}

}  // namespace

peer_node::impl::impl(asio::io_context& context, const host_id& self,
                      const peer_node_options& options)
    : context_(context),
      self_(self),
      options_(options),
      acceptor_(context,
                tcp::endpoint(asio::ip::make_address(options.listen_address),
                              options.listen_port)),
      tick_(context),
      accept_pause_(context),
      alive_(std::make_shared<impl*>(this)) {
  Accept();
  ScheduleTick();
}

peer_node::impl::~impl() {
  alive_.reset();
  for (auto& [id, link] : links_) {
    link.connection->Abandon();
  }
}

void peer_node::impl::SetPeers(const std::vector<peer_address>& peers) {
  std::map<std::string, peer> next;
  for (const peer_address& listed : peers) {
    peer entry;
    entry.where = ParseAddress(listed.address);
    entry.is_contact = listed.is_contact;
    const auto known = peers_.find(listed.host);
    if (known != peers_.end() && known->second.where == entry.where) {
      entry = known->second;
    }
    next[listed.host] = entry;
  }
  peers_.swap(next);
  for (const auto& [host, old] : next) {
    const auto kept = peers_.find(host);
    if (kept == peers_.end() || kept->second.dialed != old.dialed) {
      Retire(old.dialed);
    }
  }
  std::erase_if(incarnations_,
                [this](const auto& e) { return !peers_.contains(e.first); });
}

void peer_node::impl::Accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](
                             const std::error_code& error, tcp::socket socket) {
    if (alive.expired()) {
      return;
    }
    if (!error) {
      TakeSocket(std::move(socket));
      Accept();
      return;
    }
    // Out of file descriptors: accepting at once again would spin.
    accept_pause_.expires_after(kAcceptPause);
    accept_pause_.async_wait([this, alive](const std::error_code&) {
      if (!alive.expired()) {
        Accept();
      }
    });
  });
}

void peer_node::impl::TakeSocket(tcp::socket socket) {
  if (links_.size() >= options_.max_connections) {
    ++counters.connections_refused;
    return;
  }
  const link_id id = AddLink(std::move(socket), false);
  links_.at(id).connection->Start();
}

peer_node::impl::link_id peer_node::impl::AddLink(tcp::socket socket,
                                                  bool dialed) {
  const link_id id = next_link_++;
  const connection_limits limits{
      options_.max_frame_bytes, options_.max_pending_bytes,
      options_.hello_timeout, options_.stall_timeout};
  connection_hooks hooks;
  hooks.on_frame = [this, id](wire::frameT frame, std::size_t bytes) {
    OnFrame(id, std::move(frame), bytes);
  };
  hooks.on_closed = [this, id](const std::string& reason) {
    OnClosed(id, reason);
  };
  link& added = links_[id];
  added.dialed = dialed;
  added.connection = std::make_shared<peer_connection>(
      std::move(socket), limits, std::move(hooks), unsent_);
  return id;
}

peer_node::impl::link* peer_node::impl::Dial(const std::string& host,
                                             std::string* detail) {
  const auto found = peers_.find(host);
  if (found == peers_.end() || !found->second.where) {
    *detail = "no address of host " + host;
    return nullptr;
  }
  peer& target = found->second;
  if (target.dialed != 0) {
    return &links_.at(target.dialed);
  }
  if (Now() < target.retry_at) {
    *detail = "host " + host + " could not be connected to a moment ago";
    return nullptr;
  }
  if (links_.size() >= options_.max_connections) {
    *detail = "too many connections";
    return nullptr;
  }
  target.dialed = AddLink(tcp::socket(context_), true);
  link& made = links_.at(target.dialed);
  made.peer.name = host;
  made.is_contact = target.is_contact;
  made.connection->Connect(*target.where, EncodeHello());
  return &made;
}

void peer_node::impl::Drop(const std::string& host) {
  const auto found = peers_.find(host);
  if (found != peers_.end() && found->second.dialed != 0) {
    links_.at(found->second.dialed).connection->Close("silent");
  }
}

std::optional<duration> peer_node::impl::SilentFor(
    const std::string& host) const {
  const auto found = peers_.find(host);
  if (found == peers_.end() || found->second.dialed == 0) {
    return std::nullopt;
  }
  return Now() - links_.at(found->second.dialed).connection->LastReceived();
}

void peer_node::impl::Retire(link_id id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  found->second.retired = true;
  if (found->second.calls.empty()) {
    found->second.connection->Close("host left the list");
  }
}

void peer_node::impl::OnClosed(link_id id, const std::string& reason) {
  const auto found = links_.find(id);
  const link gone = std::move(found->second);
  links_.erase(found);
  if (gone.connection->WasBroken()) {
    ++counters.connections_broken;
  }
  if (gone.dialed) {
    const auto entry = peers_.find(gone.peer.name);
    if (entry != peers_.end() && entry->second.dialed == id) {
      peer& target = entry->second;
      target.dialed = 0;
      if (gone.peer.incarnation == 0) {
        target.backoff = std::clamp(target.backoff * 2, options_.first_backoff,
                                    options_.max_backoff);
        target.retry_at = Now() + target.backoff;
      }
    }
  }
  for (const std::uint64_t call : gone.calls) {
    const bool untouched = gone.connection->Withdraw(call);
    EndCall(call, untouched ? peer_call_end::kNotSent : peer_call_end::kUnknown,
            reason);
  }
}

void peer_node::impl::ScheduleTick() {
  const milliseconds shortest = std::min(
      {options_.hello_timeout, options_.stall_timeout, options_.idle_timeout});
  tick_.expires_after(std::clamp(shortest / 4, kMinTick, kMaxTick));
  tick_.async_wait(
      [this, alive = std::weak_ptr(alive_)](const std::error_code& error) {
        if (!error && !alive.expired()) {
          Tick();
          ScheduleTick();
        }
      });
}

void peer_node::impl::Tick() {
  const time_point now = Now();
  std::vector<std::shared_ptr<peer_connection>> idle;
  std::vector<std::shared_ptr<peer_connection>> busy;
  for (const auto& [id, link] : links_) {
    const duration allowed =
        options_.idle_timeout * (link.dialed ? 1 : kAcceptedIdleFactor);
    const bool unused = link.calls.empty() && link.serving == 0;
    const bool is_idle = now - link.connection->LastUse() > allowed;
    (unused && is_idle ? idle : busy).push_back(link.connection);
  }
  for (const auto& connection : idle) {
    connection->Close("idle");
  }
  for (const auto& connection : busy) {
    connection->CheckTimeouts(now);
  }
}

std::string peer_node::impl::EncodeHello() {
  wire::helloT hello;
  hello.host = self_.name;
  hello.incarnation = self_.incarnation;
  hello.version = kPeerProtocolVersion;
  wire::frameT frame;
  frame.body = MakeMessage(std::move(hello));
  return Encode(frame);
}

void peer_node::impl::OnHello(link_id id, const wire::helloT& hello) {
  if (hello.version != kPeerProtocolVersion) {
    Refuse(id, "peer protocol version " + std::to_string(hello.version) +
                   " is not spoken here, but version " +
                   std::to_string(kPeerProtocolVersion));
    return;
  }
  if (hello.host.empty() || hello.host.size() > kMaxHostNameBytes ||
      hello.incarnation == 0) {
    Refuse(id, "hello without host name or incarnation");
    return;
  }
  link& greeted = links_.at(id);
  // An address from the lagging list may already belong to another host, which
  // would answer for keys and usage that are not its own.
  if (greeted.dialed && !greeted.is_contact &&
      hello.host != greeted.peer.name) {
    Refuse(id, "host " + hello.host + " answers at the address of " +
                   greeted.peer.name);
    return;
  }
  // A contact keeps the name by which its calls find it.
  greeted.peer = {greeted.is_contact ? greeted.peer.name : hello.host,
                  hello.incarnation};
  ++counters.connections_made;
  if (!greeted.dialed) {
    greeted.connection->SendFirst(EncodeHello());
  }
  NoteIncarnation(id);
  const auto still = links_.find(id);
  if (still == links_.end()) {
    return;
  }
  still->second.connection->Open();
  const auto handle = on_hello;
  if (handle) {
    handle(host_id{hello.host, hello.incarnation});
  }
}

void peer_node::impl::Refuse(link_id id, const std::string& detail) {
  ++counters.connections_refused;
  link& refused = links_.at(id);
  if (refused.dialed) {
    refused.connection->Close(detail);
    return;
  }
  wire::frameT frame;
  frame.body = MakeErrorReply("invalid-request", detail);
  refused.connection->SendFirst(Encode(frame));
  refused.connection->CloseAfterWrites(detail);
}

// A restarted peer has lost the calls of its former run. Their connection may
// look healthy for minutes where the host vanished without a reset, so the
// calls end now, as unknown, instead of at their timeout.
void peer_node::impl::NoteIncarnation(link_id id) {
  const host_id peer = links_.at(id).peer;
  const auto entry = peers_.find(peer.name);
  if (entry != peers_.end()) {
    entry->second.backoff = milliseconds{0};
    entry->second.retry_at = {};
  }
  std::uint64_t& known = incarnations_[peer.name];
  if (known != 0 && known != peer.incarnation) {
    ++counters.restarts_noticed;
  }
  known = peer.incarnation;
  std::vector<std::shared_ptr<peer_connection>> stale;
  for (const auto& [other, link] : links_) {
    if (link.peer.name == peer.name && link.peer.incarnation != 0 &&
        link.peer.incarnation != peer.incarnation) {
      stale.push_back(link.connection);
    }
  }
  for (const auto& connection : stale) {
    connection->Close("host " + peer.name + " restarted");
  }
}

}  // namespace slatestall
