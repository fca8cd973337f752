#include "slatestall/http/server_connection.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "slatestall/model/name_table.h"

namespace slatestall {
namespace {

thread_local server_connection* parsing_connection = nullptr;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view RefusalAnswer(read_refusal refusal) {
  switch (refusal) {
    case read_refusal::kBodyTooLarge:
      return "HTTP/1.1 413 Payload Too Large\r\n"
             "Connection: close\r\nContent-Length: 0\r\n\r\n";
    case read_refusal::kTargetTooLong:
      return "HTTP/1.1 414 URI Too Long\r\n"
             "Connection: close\r\nContent-Length: 0\r\n\r\n";
    case read_refusal::kHeadersTooLarge:
      return "HTTP/1.1 431 Request Header Fields Too Large\r\n"
             "Connection: close\r\nContent-Length: 0\r\n\r\n";
    case read_refusal::kMalformed:
      break;
  }
  return "HTTP/1.1 400 Bad Request\r\n"
         "Connection: close\r\nContent-Length: 0\r\n\r\n";
}

constexpr std::string_view kChunkEnd = "\r\n";

/// The line before a chunk: its size in hexadecimal.
class chunk_frame {
 public:
  explicit chunk_frame(std::size_t bytes) {
    constexpr int kHexadecimal = 16;
    char* const end = std::to_chars(text_.data(), text_.data() + kMaxDigits,
                                    bytes, kHexadecimal)
                          .ptr;
    end[0] = '\r';
    end[1] = '\n';
    size_ = static_cast<std::size_t>(end - text_.data()) + kChunkEnd.size();
  }

  std::string_view Head() const { return {text_.data(), size_}; }

 private:
  static constexpr std::size_t kMaxDigits = 16;
  std::array<char, kMaxDigits + kChunkEnd.size()> text_{};
  std::size_t size_ = 0;
};

/// `sendmsg` reads what is given to it, though its type does not say so.
iovec PartOf(std::string_view text) {
  return {const_cast<char*>(text.data()), text.size()};  // NOLINT
}

time_point Now() { return std::chrono::steady_clock::now(); }

}  // namespace

server_connection* server_connection::Parsing() { return parsing_connection; }

server_connection::parsing_scope::parsing_scope(server_connection& connection,
                                                bool fresh_input)
    : connection_(connection),
      outer_(std::exchange(parsing_connection, &connection)) {
  connection_.parsing_fresh_input_ = fresh_input;
}

server_connection::parsing_scope::~parsing_scope() {
  connection_.parsing_fresh_input_ = false;
  parsing_connection = outer_;
}

server_connection::server_connection(closed_hook on_closed)
    : on_closed_(std::move(on_closed)), last_activity_(Now()) {}

void server_connection::DetachSocket() {
  socket_ = nullptr;
  End(std::nullopt);
}

void server_connection::OnInput(std::size_t bytes) {
  if (bytes == 0) {
    return;
  }
  last_activity_ = Now();
  if (!request_started_) {
    request_started_ = last_activity_;
  }
}

void server_connection::OnRequest() { request_started_.reset(); }

void server_connection::OnWriteStarted() {
  writing_ = true;
  last_activity_ = Now();
}

void server_connection::OnWriteEnded() {
  writing_ = false;
  last_activity_ = Now();
}

std::size_t server_connection::Add(request_in_hand& request) {
  in_hand_.push_back(&request);
  return ++requests_;
}

bool server_connection::EndAfter(std::size_t request_number) {
  if (request_number != requests_) {
    return false;
  }
  end_announced_ = true;
  return true;
}

void server_connection::Remove(request_in_hand& request) {
  std::erase(in_hand_, &request);
}

bool server_connection::Expired(time_point now,
                                const http_server_options& options) const {
  if (request_started_ && now - *request_started_ > options.read_timeout) {
    return true;
  }
  const duration quiet = now - last_activity_;
  if (writing_) {
    return quiet > options.write_timeout;
  }
  if (!in_hand_.empty()) {
    return quiet > options.answer_timeout;
  }
  return quiet > options.idle_timeout;
}

void server_connection::SendNow(std::string_view text) {
  // The connection has no answer under way, so its send buffer is empty and
  // takes these few bytes at once; what it would not take is given up.
  ::send(socket_->native_handle(), text.data(), text.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
}

std::optional<std::string> server_connection::SendChunk(std::string_view data) {
  if (socket_ == nullptr || closed_ || writing_) {
    return std::nullopt;
  }
  const chunk_frame frame(data.size());
  std::array<iovec, 3> parts{PartOf(frame.Head()), PartOf(data),
                             PartOf(kChunkEnd)};
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  const ssize_t sent = ::sendmsg(socket_->native_handle(), &message,
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent <= 0) {
    return std::nullopt;
  }
  last_activity_ = Now();
  const auto taken = static_cast<std::size_t>(sent);
  if (taken == frame.Head().size() + data.size() + kChunkEnd.size()) {
    return std::string();
  }
  std::string whole(frame.Head());
  whole.append(data).append(kChunkEnd);
  return whole.substr(taken);
}

void server_connection::SendRest(std::string rest,
                                 std::function<void(bool written)> done) {
  if (socket_ == nullptr || closed_) {
    done(false);
    return;
  }
  OnWriteStarted();
  socket_->async_wait(
      asio::ip::tcp::socket::wait_write,
      [self = shared_from_this(), rest = std::move(rest),
       done = std::move(done)](const std::error_code& error) mutable {
        if (error || self->socket_ == nullptr || self->closed_) {
          done(false);
          return;
        }
        const ssize_t sent = ::send(self->socket_->native_handle(), rest.data(),
                                    rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
          self->Close();
          done(false);
          return;
        }
        rest.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
        if (!rest.empty()) {
          self->SendRest(std::move(rest), std::move(done));
          return;
        }
        self->OnWriteEnded();
        done(true);
      });
}

void server_connection::SendContinue() {
  if (socket_ != nullptr && in_hand_.empty() && !writing_) {
    SendNow(kContinue);
  }
}

bool server_connection::AnswerRefusal() {
  const bool refused = refusal_ || parsing_fresh_input_;
  // With an earlier answer under way these bytes would land in its middle.
  if (!refused || !in_hand_.empty() || writing_) {
    return false;
  }
  SendNow(RefusalAnswer(refusal_.value_or(read_refusal::kMalformed)));
  return true;
}

void server_connection::CloseAfterRead() {
  if (socket_ == nullptr || closed_) {
    return;
  }
  std::error_code error;
  const bool answered = AnswerRefusal();
  const bool unread = socket_->available(error) != 0;
  if (!answered && !unread) {
    Close();
    return;
  }
  // Closing with input unread resets the connection: a caller that is still
  // sending would fail on that and never read the answer. So what it sends is
  // read and dropped first.
  socket_->cancel(error);
  socket_->shutdown(asio::ip::tcp::socket::shutdown_send, error);
  End(std::move(*socket_));
}

void server_connection::Close() {
  if (socket_ != nullptr) {
    std::error_code error;
    socket_->shutdown(asio::ip::tcp::socket::shutdown_both, error);
    socket_->close(error);
  }
  End(std::nullopt);
}

void server_connection::End(std::optional<asio::ip::tcp::socket> unread) {
  if (std::exchange(closed_, true)) {
    return;
  }
  const auto in_hand = std::exchange(in_hand_, {});
  for (request_in_hand* request : in_hand) {
    request->OnConnectionClosed();
  }
  on_closed_(std::move(unread));
}

}  // namespace slatestall
