#include "slatestall/relay/endpoint_call.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <limits>
#include <utility>

#include "slatestall/http/answer_head.h"
#include "slatestall/relay/message_text.h"
#include "slatestall/relay/socket_options.h"

namespace slatestall {
namespace {

constexpr std::size_t kReadBytes = std::size_t{8} << 10U;
constexpr int kRelayed = 200;

/// The request of a call as the body of one to a host that passes it on.
std::string WrappedForRelay(const endpoint_call_options& options) {
  return RequestHeadText(
             "POST", kRelayTarget,
             {{"Host", "relay"},
              {kRelayHeader, options.endpoint_id},
              {"Connection", "close"},
              {"Content-Length", std::to_string(options.request.size())}}) +
         options.request;
}

/// What passes through is bounded by the reader of the inner answer.
message_limits RelayLimits(message_limits limits) {
  limits.max_body_bytes = std::numeric_limits<std::size_t>::max();
  return limits;
}

}  // namespace

class endpoint_call::impl {
 public:
  impl(asio::io_context& context, endpoint_call_options options,
       endpoint_call_hooks hooks)
      : options_(std::move(options)),
        hooks_(std::move(hooks)),
        socket_(context),
        connect_timer_(context),
        reader_(message_kind::kAnswer),
        relay_reader_(message_kind::kAnswer) {
    if (options_.is_head) {
      reader_.ExpectNoBody();
    }
  }

  void Start(const std::shared_ptr<endpoint_call>& self) { Connect(self); }

  void Cancel() {
    ended_ = true;
    hooks_ = {};
    Close();
  }

  bool may_have_left_ = false;

 private:
  enum class write_state { kUnderWay, kDone, kFailed };

  /// After the hosts of `via` comes a direct connection.
  bool IsRelayed() const { return hop_ < options_.via.size(); }

  void Connect(const std::shared_ptr<endpoint_call>& self) {
    connect_timer_.expires_after(options_.connect_timeout);
    connect_timer_.async_wait(
        [this, self, hop = hop_](const asio::error_code& error) {
          if (!error && !connected_ && hop == hop_) {
            EndConnecting(self);
          }
        });
    asio::error_code failed;
    socket_.open(asio::ip::tcp::v4(), failed);
    if (failed) {
      // Out of descriptors; told from the event loop, as all ends are.
      connect_timer_.expires_after(milliseconds(0));
      return;
    }
    LimitSilence(socket_, options_.silence_timeout);
    socket_.async_connect(
        IsRelayed() ? options_.via[hop_].address : options_.to,
        [this, self, hop = hop_](const asio::error_code& error) {
          if (!ended_ && hop == hop_) {
            OnConnected(self, error);
          }
        });
  }

  void EndConnecting(const std::shared_ptr<endpoint_call>& self) {
    if (IsRelayed()) {
      NextHop(self);
    } else {
      End(options_.via.empty() ? call_outcome::kNotConnected
                               : call_outcome::kNotRelayed);
    }
  }

  /// The host has said that the endpoint has no byte of the call, or has none
  /// itself.
  void NextHop(const std::shared_ptr<endpoint_call>& self) {
    may_have_left_ = false;
    connected_ = false;
    writing_ = write_state::kUnderWay;
    asio::error_code ignored;
    socket_.close(ignored);
    if (hooks_.on_relay_refused) {
      const auto on_refused = hooks_.on_relay_refused;
      on_refused(options_.via[hop_].host);
    }
    if (ended_) {
      return;
    }
    ++hop_;
    relay_reader_.Reset();
    Connect(self);
  }

  void OnConnected(const std::shared_ptr<endpoint_call>& self,
                   const asio::error_code& error) {
    if (error) {
      EndConnecting(self);
      return;
    }
    connected_ = true;
    connect_timer_.cancel();
    if (hooks_.may_send && !hooks_.may_send()) {
      End(call_outcome::kWithdrawn);
      return;
    }
    may_have_left_ = true;
    const auto output = std::make_shared<const std::string>(
        IsRelayed() ? WrappedForRelay(options_)
                    : std::exchange(options_.request, {}));
    asio::async_write(socket_, asio::buffer(*output),
                      [this, self, output, hop = hop_](
                          const asio::error_code& error, std::size_t) {
                        if (!ended_ && hop == hop_) {
                          OnWritten(error);
                        }
                      });
    Read(self);
  }

  /// An endpoint may answer before it has read all of a long body: an answer
  /// that tells its length decides, not that the writing failed.
  void OnWritten(const asio::error_code& error) {
    writing_ = error ? write_state::kFailed : write_state::kDone;
    if (input_ended_) {
      TakeEnd();
    }
  }

  void Read(const std::shared_ptr<endpoint_call>& self) {
    socket_.async_read_some(
        asio::buffer(input_),
        [this, self, hop = hop_](const asio::error_code& error,
                                 std::size_t size) {
          if (!ended_ && hop == hop_) {
            OnRead(self, error, size);
          }
        });
  }

  void OnRead(const std::shared_ptr<endpoint_call>& self,
              const asio::error_code& error, std::size_t size) {
    const std::size_t hop = hop_;
    if (!error) {
      const std::string_view bytes(input_.data(), size);
      if (IsRelayed()) {
        TakeRelayed(self, bytes);
      } else {
        Take(bytes);
      }
    } else if (error == asio::error::eof && !IsRelayed()) {
      TakeEnd();
    } else {
      // The end of a connection to another host says nothing of the endpoint.
      End(call_outcome::kBroken);
    }
    if (!ended_ && !input_ended_ && hop == hop_) {
      Read(self);
    }
  }

  /// The connection has no more input. The kernel reports a reset once, to a
  /// read or to a write, and the end of input after that: an answer that ends
  /// with its connection is whole only if the request could be written.
  void TakeEnd() {
    input_ended_ = true;
    reader_.FeedEnd();
    Deliver();
    const bool is_whole = reader_.Complete() && head_told_;
    if (!is_whole || writing_ == write_state::kFailed) {
      End(call_outcome::kBroken);
    } else if (writing_ == write_state::kDone) {
      End(call_outcome::kComplete);
    }
  }

  void TakeRelayed(const std::shared_ptr<endpoint_call>& self,
                   std::string_view bytes) {
    relay_reader_.Feed(bytes, RelayLimits(options_.limits));
    if (relay_reader_.Fault() != read_fault::kNone) {
      End(call_outcome::kBroken);
      return;
    }
    if (!relay_reader_.HeadComplete()) {
      return;
    }
    const int status = relay_reader_.Head().status;
    if (status == kRelayUnreachable) {
      may_have_left_ = false;
      End(call_outcome::kNotConnected);
    } else if (status != kRelayed) {
      NextHop(self);
    } else {
      const std::string inner = relay_reader_.TakeBody();
      Take(inner);
      if (!ended_ && relay_reader_.Complete()) {
        TakeEnd();
      }
    }
  }

  void Take(std::string_view bytes) {
    while (!bytes.empty() && !ended_) {
      const auto taken = reader_.Feed(bytes, options_.limits);
      bytes.remove_prefix(taken);
      answer_bytes_ += taken;
      Deliver();
      if (ended_) {
        return;
      }
      if (reader_.Fault() != read_fault::kNone) {
        End(call_outcome::kMalformed);
      } else if (reader_.Complete() && IsInterim()) {
        TakeInterim();
      } else if (reader_.Complete()) {
        // Whatever follows on the connection belongs to no request.
        End(call_outcome::kComplete);
      }
    }
  }

  /// Interim answers may come without end. Together they may be as long as one
  /// head.
  void TakeInterim() {
    if (answer_bytes_ > options_.limits.max_head_bytes) {
      End(call_outcome::kMalformed);
      return;
    }
    reader_.Reset();
  }

  bool IsInterim() { return IsInterimStatus(reader_.Head().status); }

  void Deliver() {
    if (reader_.HeadComplete() && !head_told_ && !IsInterim()) {
      head_told_ = true;
      if (hooks_.on_head) {
        const auto on_head = hooks_.on_head;
        on_head(reader_.Head());
      }
    }
    if (ended_ || !head_told_) {
      return;
    }
    std::string body = reader_.TakeBody();
    if (!body.empty() && hooks_.on_body) {
      const auto on_body = hooks_.on_body;
      on_body(std::move(body));
    }
  }

  void End(call_outcome outcome) {
    if (ended_) {
      return;
    }
    ended_ = true;
    const auto on_end = std::move(hooks_.on_end);
    hooks_ = {};
    Close();
    if (on_end) {
      on_end(outcome);
    }
  }

  void Close() {
    connect_timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

  endpoint_call_options options_;
  endpoint_call_hooks hooks_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  message_reader reader_;
  message_reader relay_reader_;  ///< Of what a host of `via` sends.
  std::size_t hop_ = 0;          ///< In `via`.
  std::array<char, kReadBytes> input_{};
  std::size_t answer_bytes_ = 0;  ///< From the endpoint, interim ones included.
  write_state writing_ = write_state::kUnderWay;
  bool input_ended_ = false;
  bool connected_ = false;
  bool head_told_ = false;
  bool ended_ = false;
};

endpoint_call::endpoint_call(asio::io_context& context,
                             endpoint_call_options options,
                             endpoint_call_hooks hooks)
    : impl_(std::make_unique<impl>(context, std::move(options),
                                   std::move(hooks))) {}
endpoint_call::~endpoint_call() = default;

void endpoint_call::Start() { impl_->Start(shared_from_this()); }
void endpoint_call::Cancel() { impl_->Cancel(); }
bool endpoint_call::MayHaveLeft() const { return impl_->may_have_left_; }

}  // namespace slatestall
