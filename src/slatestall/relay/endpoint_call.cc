#include "slatestall/relay/endpoint_call.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "slatestall/relay/socket_options.h"

namespace slatestall {
namespace {

constexpr std::size_t kReadBytes = std::size_t{8} << 10U;
constexpr int kFirstFinalStatus = 200;

}  // namespace

class endpoint_call::impl {
 public:
  impl(asio::io_context& context, endpoint_call_options options,
       endpoint_call_hooks hooks)
      : options_(std::move(options)),
        hooks_(std::move(hooks)),
        socket_(context),
        connect_timer_(context),
        reader_(message_kind::kAnswer, options_.limits) {
    if (options_.is_head) {
      reader_.ExpectNoBody();
    }
  }

  void Start(const std::shared_ptr<endpoint_call>& self) {
    connect_timer_.expires_after(options_.connect_timeout);
    connect_timer_.async_wait([this, self](const asio::error_code& error) {
      if (!error && !connected_) {
        End(call_outcome::kNotConnected);
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
    socket_.async_connect(options_.to,
                          [this, self](const asio::error_code& error) {
                            OnConnected(self, error);
                          });
  }

  void Cancel() {
    ended_ = true;
    hooks_ = {};
    Close();
  }

  bool may_have_left_ = false;

 private:
  void OnConnected(const std::shared_ptr<endpoint_call>& self,
                   const asio::error_code& error) {
    if (ended_) {
      return;
    }
    if (error) {
      End(call_outcome::kNotConnected);
      return;
    }
    connected_ = true;
    connect_timer_.cancel();
    if (hooks_.may_send && !hooks_.may_send()) {
      End(call_outcome::kWithdrawn);
      return;
    }
    may_have_left_ = true;
    asio::async_write(
        socket_, asio::buffer(options_.request),
        [this, self](const asio::error_code& failed, std::size_t) {
          // An endpoint may answer and close before it has read all of a long
          // body: what it said decides, not that the writing failed.
          (void)failed;
          options_.request = {};
        });
    Read(self);
  }

  void Read(const std::shared_ptr<endpoint_call>& self) {
    socket_.async_read_some(
        asio::buffer(input_),
        [this, self](const asio::error_code& error, std::size_t size) {
          if (!ended_) {
            OnRead(self, error, size);
          }
        });
  }

  void OnRead(const std::shared_ptr<endpoint_call>& self,
              const asio::error_code& error, std::size_t size) {
    if (error == asio::error::eof) {
      reader_.FeedEnd();
    } else if (error) {
      End(call_outcome::kBroken);
      return;
    } else {
      Take({input_.data(), size});
    }
    if (!ended_ && error) {
      Deliver();
      End(reader_.Complete() ? call_outcome::kComplete : call_outcome::kBroken);
    }
    if (!ended_) {
      Read(self);
    }
  }

  void Take(std::string_view bytes) {
    while (!bytes.empty() && !ended_) {
      bytes.remove_prefix(reader_.Feed(bytes));
      Deliver();
      if (ended_) {
        return;
      }
      if (reader_.Fault() != read_fault::kNone) {
        End(call_outcome::kMalformed);
      } else if (reader_.Complete() && IsInterim()) {
        reader_.Reset();
      } else if (reader_.Complete()) {
        // Whatever follows on the connection belongs to no request.
        End(call_outcome::kComplete);
      }
    }
  }

  bool IsInterim() { return reader_.Head().status < kFirstFinalStatus; }

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
  std::array<char, kReadBytes> input_{};
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
