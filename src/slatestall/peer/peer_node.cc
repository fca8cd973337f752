// Calls, replies and notices of a peer_node.
#include "slatestall/peer/peer_node.h"

#include <asio/post.hpp>
#include <exception>
#include <utility>

#include "slatestall/peer/frame_codec.h"
#include "slatestall/peer/peer_node_impl.h"

namespace slatestall {

/// Answers one call at most once; counts it as served even where a handler
/// drops it without an answer.
struct peer_node::impl::responder {
  std::weak_ptr<impl*> node;
  link_id via = 0;
  std::uint64_t call = 0;
  bool answered = false;

  responder(std::weak_ptr<impl*> owner, link_id link, std::uint64_t number)
      : node(std::move(owner)), via(link), call(number) {}
  responder(const responder&) = delete;
  responder& operator=(const responder&) = delete;
  ~responder() { Finish(); }

  void Answer(wire::messageUnion reply) {
    const auto owner = node.lock();
    if (answered || owner == nullptr) {
      return;
    }
    answered = true;
    (*owner)->SendReply(via, call, std::move(reply));
  }

  void Finish() {
    const auto owner = node.lock();
    if (owner == nullptr) {
      return;
    }
    const auto found = (*owner)->links_.find(via);
    if (found != (*owner)->links_.end()) {
      --found->second.serving;
    }
  }
};

void peer_node::impl::Call(const std::string& host, wire::messageUnion request,
                           milliseconds timeout,
                           std::function<void(peer_reply)> done) {
  const wire::message reply_kind = ReplyKind(request.type);
  if (reply_kind == wire::message::NONE) {
    PostEnd(std::move(done), "this kind of message is not a request");
    return;
  }
  std::string detail;
  link* via = Dial(host, &detail);
  if (via == nullptr) {
    PostEnd(std::move(done), detail);
    return;
  }
  const std::uint64_t call = next_call_++;
  const wire::message kind = request.type;
  wire::frameT frame;
  frame.call = call;
  frame.body = std::move(request);
  std::string bytes = EncodeFrame(frame);
  const std::size_t size = bytes.size();
  if (size > options_.max_frame_bytes ||
      !via->connection->Send(std::move(bytes), call)) {
    PostEnd(std::move(done), "request too large, or too much is pending");
    return;
  }
  CountSent(kind, size);
  via->calls.insert(call);
  pending_call& pending = pending_[call];
  pending.via = peers_.at(host).dialed;
  pending.reply_kind = reply_kind;
  pending.done = std::move(done);
  pending.timeout = std::make_unique<asio::steady_timer>(context_, timeout);
  pending.timeout->async_wait([this, alive = std::weak_ptr(alive_),
                               call](const std::error_code& error) {
    if (!error && !alive.expired()) {
      OnTimeout(call);
    }
  });
}

void peer_node::impl::Notify(const std::string& host,
                             wire::messageUnion notice) {
  std::string detail;
  link* via = Dial(host, &detail);
  const wire::message kind = notice.type;
  wire::frameT frame;
  frame.body = std::move(notice);
  std::string bytes = EncodeFrame(frame);
  const std::size_t size = bytes.size();
  if (via == nullptr || size > options_.max_frame_bytes ||
      !via->connection->Send(std::move(bytes), 0)) {
    ++counters.notices_dropped;
    return;
  }
  CountSent(kind, size);
}

void peer_node::impl::PostEnd(std::function<void(peer_reply)> done,
                              std::string detail) {
  asio::post(context_, [alive = std::weak_ptr(alive_), done = std::move(done),
                        detail = std::move(detail)] {
    if (!alive.expired()) {
      done({peer_call_end::kNotSent, {}, detail});
    }
  });
}

void peer_node::impl::EndCall(std::uint64_t call, peer_call_end end,
                              const std::string& detail) {
  const auto found = pending_.find(call);
  if (found == pending_.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  pending_.erase(found);
  // Posted: a connection may close from inside `Call` or `SetPeers`.
  asio::post(context_, [alive = std::weak_ptr(alive_), done, end, detail] {
    if (!alive.expired()) {
      done({end, {}, detail});
    }
  });
}

void peer_node::impl::OnTimeout(std::uint64_t call) {
  const auto found = pending_.find(call);
  if (found == pending_.end()) {
    return;
  }
  const link_id id = found->second.via;
  bool untouched = false;
  const auto via = links_.find(id);
  if (via != links_.end()) {
    untouched = via->second.connection->Withdraw(call);
    via->second.calls.erase(call);
    if (via->second.retired) {
      Retire(id);
    }
  }
  EndCall(call, untouched ? peer_call_end::kNotSent : peer_call_end::kUnknown,
          "no reply in time");
}

void peer_node::impl::OnFrame(link_id id, wire::frameT frame,
                              std::size_t bytes) {
  peer_traffic& count = received[frame.body.type];
  ++count.messages;
  count.bytes += bytes;
  link& from = links_.at(id);
  if (from.peer.incarnation == 0) {
    if (const wire::helloT* hello = frame.body.Ashello()) {
      OnHello(id, *hello);
    } else if (const wire::error_replyT* refusal = frame.body.Aserror_reply()) {
      from.connection->Close("refused by the peer: " + refusal->detail);
    } else {
      Refuse(id, "the first message has to be a hello");
    }
    return;
  }
  if (frame.body.type == wire::message::hello ||
      frame.is_reply != from.dialed) {
    from.connection->Break("message out of place");
    return;
  }
  if (frame.is_reply) {
    OnReply(id, std::move(frame));
  } else {
    OnRequest(id, frame);
  }
}

// The call number alone does not name the call: a reply counts only on the
// connection the request went out on, so that what an old connection, or a
// confused peer, still delivers can never answer another caller.
void peer_node::impl::OnReply(link_id id, wire::frameT frame) {
  const auto found = pending_.find(frame.call);
  if (found == pending_.end() || found->second.via != id) {
    ++counters.stray_replies;
    return;
  }
  const bool fits = frame.body.type == found->second.reply_kind ||
                    frame.body.type == wire::message::error_reply;
  link& from = links_.at(id);
  if (!fits) {
    from.connection->Break("reply of another kind than was asked for");
    return;
  }
  const auto done = std::move(found->second.done);
  pending_.erase(found);
  from.calls.erase(frame.call);
  if (from.retired) {
    Retire(id);
  }
  done({peer_call_end::kReplied, std::move(frame.body), ""});
}

void peer_node::impl::OnRequest(link_id id, const wire::frameT& frame) {
  const host_id peer = links_.at(id).peer;
  const wire::message kind = frame.body.type;
  if (frame.call == 0) {
    const auto handler = notice_handlers.find(kind);
    if (handler == notice_handlers.end()) {
      ++counters.notices_dropped;
      return;
    }
    const auto handle = handler->second;
    handle(frame.body, peer.name);
    return;
  }
  link& from = links_.at(id);
  if (from.serving >= options_.max_calls_served) {
    SendReply(id, frame.call,
              MakeErrorReply("overloaded", "too many calls unanswered"));
    return;
  }
  const auto handler = call_handlers.find(kind);
  if (handler == call_handlers.end()) {
    SendReply(id, frame.call,
              MakeErrorReply("not-found", "no such call on this host"));
    return;
  }
  ++from.serving;
  const auto answer = std::make_shared<responder>(alive_, id, frame.call);
  try {
    handler->second(frame.body, peer.name, [answer](wire::messageUnion reply) {
      answer->Answer(std::move(reply));
    });
  } catch (const std::exception& error) {
    answer->Answer(MakeErrorReply("internal", error.what()));
  }
}

void peer_node::impl::SendReply(link_id id, std::uint64_t call,
                                wire::messageUnion reply) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  wire::frameT frame;
  frame.call = call;
  frame.is_reply = true;
  frame.body = std::move(reply);
  std::string bytes = EncodeFrame(frame);
  if (bytes.size() > options_.max_frame_bytes) {
    frame.body = MakeErrorReply("internal", "the reply is too large");
    bytes = EncodeFrame(frame);
  }
  const std::size_t size = bytes.size();
  const auto connection = found->second.connection;
  if (!connection->Send(std::move(bytes), 0)) {
    connection->Break("peer does not read its replies");
    return;
  }
  CountSent(frame.body.type, size);
}

std::string peer_node::impl::Encode(const wire::frameT& frame) {
  std::string bytes = EncodeFrame(frame);
  CountSent(frame.body.type, bytes.size());
  return bytes;
}

void peer_node::impl::CountSent(wire::message kind, std::size_t bytes) {
  peer_traffic& count = sent[kind];
  ++count.messages;
  count.bytes += bytes;
}

peer_node::peer_node(asio::io_context& context, const host_id& self,
                     const peer_node_options& options)
    : impl_(std::make_unique<impl>(context, self, options)) {}

peer_node::~peer_node() = default;

std::uint16_t peer_node::Port() const { return impl_->Port(); }

void peer_node::SetPeers(const std::vector<peer_address>& peers) {
  impl_->SetPeers(peers);
}

void peer_node::Handle(wire::message kind, call_handler handler) {
  impl_->call_handlers[kind] = std::move(handler);
}

void peer_node::HandleNotice(wire::message kind, notice_handler handler) {
  impl_->notice_handlers[kind] = std::move(handler);
}

void peer_node::HandleHello(hello_handler handler) {
  impl_->on_hello = std::move(handler);
}

void peer_node::Call(const std::string& host, wire::messageUnion request,
                     milliseconds timeout,
                     std::function<void(peer_reply)> done) {
  impl_->Call(host, std::move(request), timeout, std::move(done));
}

void peer_node::Drop(const std::string& host) { impl_->Drop(host); }

std::optional<duration> peer_node::SilentFor(const std::string& host) const {
  return impl_->SilentFor(host);
}

void peer_node::Notify(const std::string& host, wire::messageUnion notice) {
  impl_->Notify(host, std::move(notice));
}

const std::map<wire::message, peer_traffic>& peer_node::Sent() const {
  return impl_->sent;
}

const std::map<wire::message, peer_traffic>& peer_node::Received() const {
  return impl_->received;
}

const peer_counters& peer_node::Counters() const { return impl_->counters; }

std::size_t peer_node::ConnectionCount() const {
  return impl_->ConnectionCount();
}

std::size_t peer_node::UnsentBytes() const { return impl_->UnsentBytes(); }

}  // namespace slatestall
