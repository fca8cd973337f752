#include "slatestall/http/server_connection.h"

#include <sys/socket.h>

#include <array>
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
