#include "slatestall/gateway/call_relay.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <string>
#include <utility>

#include "slatestall/relay/endpoint_call.h"
#include "slatestall/relay/socket_options.h"

namespace slatestall {
namespace {

/// Beyond it other hosts are to help; each call takes two descriptors.
constexpr std::size_t kMostCalls = 256;
constexpr std::size_t kReadBytes = std::size_t{8} << 10U;
constexpr std::size_t kMostUnreadBytes = std::size_t{8} << 20U;
constexpr milliseconds kConnectTimeout{300};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// One call of another host, from its connection to the endpoint to its end.
class relayed_call : public std::enable_shared_from_this<relayed_call> {
 public:
  relayed_call(asio::io_context& context, std::string request,
               answer_channel_ptr channel, std::shared_ptr<std::size_t> active)
      : socket_(context),
        connect_timer_(context),
        request_(std::move(request)),
        channel_(std::move(channel)),
        active_(std::move(active)) {
    ++*active_;
  }
  ~relayed_call() { --*active_; }
  relayed_call(const relayed_call&) = delete;
  relayed_call& operator=(const relayed_call&) = delete;

  void Start(const asio::ip::tcp::endpoint& to,
             std::function<void()> on_unreached) {
    channel_->OnCallerGone([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Close();
      }
    });
    connect_timer_.expires_after(kConnectTimeout);
    connect_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (!error) {
            self->Close();
          }
        });
    asio::error_code failed;
    socket_.open(asio::ip::tcp::v4(), failed);
    if (failed) {
      Refuse(kUnavailable);
      return;
    }
    LimitSilence(socket_, kEndpointSilence);
    socket_.async_connect(
        to, [self = shared_from_this(), on_unreached = std::move(on_unreached)](
                const asio::error_code& error) {
          self->OnConnected(error, on_unreached);
        });
  }

 private:
  void OnConnected(const asio::error_code& error,
                   const std::function<void()>& on_unreached) {
    connect_timer_.cancel();
    if (error || !socket_.is_open()) {
      on_unreached();
      Refuse(kRelayUnreachable);
      return;
    }
    channel_->Start(kOk, {});
    if (request_.empty()) {
      // The other host wanted to know only whether the endpoint is there.
      End(true);
      return;
    }
    asio::async_write(
        socket_, asio::buffer(request_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t) { self->OnWritten(error); });
    Read();
  }

  /// The kernel reports a reset once: after a write that met it, the end of
  /// input looks orderly.
  void OnWritten(const asio::error_code& error) {
    written_ = true;
    write_failed_ = static_cast<bool>(error);
    if (input_ended_) {
      End(!write_failed_);
    }
  }

  void OnInputEnded(const asio::error_code& error) {
    input_ended_ = true;
    if (error != asio::error::eof) {
      End(false);
    } else if (written_) {
      End(!write_failed_);
    }
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t size) {
          if (!self->channel_) {
            return;
          }
          if (error) {
            self->OnInputEnded(error);
            return;
          }
          self->channel_->Write(std::string(self->input_.data(), size));
          self->Read();
        });
  }

  void Refuse(int status) {
    connect_timer_.cancel();
    if (const auto channel = std::exchange(channel_, nullptr)) {
      channel->Send(status, {}, "");
    }
  }

  void End(bool orderly) {
    if (const auto channel = std::exchange(channel_, nullptr)) {
      if (orderly) {
        channel->Finish();
      } else {
        channel->Abort();
      }
    }
    Close();
  }

  void Close() {
    asio::error_code ignored;
    connect_timer_.cancel();
    socket_.close(ignored);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::string request_;
  answer_channel_ptr channel_;
  std::shared_ptr<std::size_t> active_;
  std::array<char, kReadBytes> input_{};
  bool written_ = false;
  bool write_failed_ = false;
  bool input_ended_ = false;
};

caller_listener_options ListenerOptions(
    const gateway_environment& environment) {
  caller_listener_options made;
  made.address = environment.options.address;
  made.port = environment.options.relay_port;
  made.max_connections = 2 * kMostCalls;
  made.max_unread_bytes = kMostUnreadBytes;
  made.now = environment.now;
  return made;
}

/// A host wraps the largest request that it takes from a caller.
caller_limits Limits() {
  constexpr std::size_t kMostRequestBytes = std::size_t{64} << 20U;
  caller_limits limits;
  limits.message.max_body_bytes = kMostRequestBytes;
  return limits;
}

}  // namespace

call_relay::call_relay(gateway_environment& environment)
    : environment_(environment),
      listener_(environment.context, ListenerOptions(environment),
                [this](const inbound_request& request,
                       const answer_channel_ptr& channel) {
                  Take(request, channel);
                }) {
  listener_.SetLimits(Limits());
}

call_relay::~call_relay() = default;

void call_relay::Take(const inbound_request& request,
                      const answer_channel_ptr& channel) {
  const auto id = FindHeader(request.head.headers, kRelayHeader);
  const auto record = environment_.roster.Find(std::string(id));
  if (request.head.target != kRelayTarget || !record ||
      !record->TakesCalls(environment_.now())) {
    channel->Send(kNotFound, {}, "");
    return;
  }
  const auto& endpoint = record->Info();
  if (draining_ || *active_ >= kMostCalls ||
      environment_.paths.IsCut(endpoint.service)) {
    environment_.metrics.Count("relays_refused", endpoint.service);
    channel->Send(kUnavailable, {}, "");
    return;
  }
  environment_.metrics.Count("relayed_for_others", endpoint.service);
  std::make_shared<relayed_call>(environment_.context, request.body, channel,
                                 active_)
      ->Start(endpoint.address,
              [this, endpoint, active = std::weak_ptr(active_)] {
                if (!active.expired()) {
                  environment_.paths.NoteUnreached(endpoint);
                }
              });
}

}  // namespace slatestall
