#include "slatestall/http/connection_acceptor.h"

#include <sys/socket.h>

#include <asio/ip/address.hpp>
#include <system_error>
#include <utility>

#include "slatestall/model/time.h"

namespace slatestall {
namespace {

/// Accepted in one turn, so that a burst of connections does not hold up the
/// requests of those already there.
constexpr int kMaxAcceptsPerTurn = 16;
constexpr int kBacklog = 1024;
constexpr milliseconds kDescriptorRetry{50};

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

bool IsDescriptorShortage(const std::error_code& error) {
  return error == std::errc::too_many_files_open ||
         error == std::errc::too_many_files_open_in_system ||
         error == std::errc::no_buffer_space ||
         error == std::errc::not_enough_memory;
}

}  // namespace

connection_acceptor::connection_acceptor(asio::io_context& context, hooks hooks)
    : hooks_(std::move(hooks)), acceptor_(context), retry_timer_(context) {}

void connection_acceptor::Listen(const std::string& address, std::uint16_t port,
                                 bool share_port) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address), port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  if (share_port) {
    acceptor_.set_option(reuse_port(true));
  }
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
  port_ = acceptor_.local_endpoint().port();
  Wait();
}

void connection_acceptor::Resume() {
  if (!stopped_ && !waiting_) {
    Wait();
  }
}

void connection_acceptor::Wait() {
  waiting_ = true;
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read,
                       [weak = weak_from_this()](std::error_code error) {
                         if (const auto self = weak.lock()) {
                           self->OnReady(error);
                         }
                       });
}

void connection_acceptor::OnReady(std::error_code error) {
  waiting_ = false;
  if (error || stopped_) {
    return;
  }
  for (int i = 0; i < kMaxAcceptsPerTurn && !stopped_; ++i) {
    if (!hooks_.has_room()) {
      return;
    }
    if (AcceptOne(error)) {
      continue;
    }
    if (IsDescriptorShortage(error)) {
      WaitForDescriptors();
      return;
    }
    break;
  }
  Resume();
}

bool connection_acceptor::AcceptOne(std::error_code& error) {
  asio::ip::tcp::socket socket = acceptor_.accept(error);
  if (error == std::errc::connection_aborted) {
    return true;
  }
  if (error) {
    return false;
  }
  hooks_.on_accepted(std::move(socket));
  return true;
}

void connection_acceptor::WaitForDescriptors() {
  // Out of descriptors, the listening socket stays ready and would be tried
  // again in a busy loop; giving up instead would leave the host deaf for
  // good. A pause lets connections end, and then goes on.
  waiting_ = true;
  retry_timer_.expires_after(kDescriptorRetry);
  retry_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped_) {
      self->Wait();
    }
  });
}

void connection_acceptor::Stop() {
  if (stopped_) {
    return;
  }
  // Connections that wait in the backlog are reset by the close, and their
  // callers may have sent their requests: they are taken over first.
  std::error_code error;
  while (hooks_.has_room() && AcceptOne(error)) {
  }
  Abandon();
}

void connection_acceptor::Abandon() {
  stopped_ = true;
  retry_timer_.cancel();
  std::error_code error;
  acceptor_.close(error);
}

}  // namespace slatestall
