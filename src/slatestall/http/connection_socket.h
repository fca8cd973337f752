#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>

#include "slatestall/http/server_connection.h"

namespace slatestall {

/// @brief The socket that RESTinio drives: a TCP socket that tells its
/// connection what it reads and writes and when it closes.
///
/// RESTinio is a template over its socket; the members here hide those of
/// the TCP socket where it calls them.
class connection_socket : public asio::ip::tcp::socket {
 public:
  connection_socket(asio::ip::tcp::socket socket,
                    std::shared_ptr<server_connection> connection)
      : asio::ip::tcp::socket(std::move(socket)),
        connection_(std::move(connection)) {
    connection_->AttachSocket(this);
  }

  connection_socket(connection_socket&& other) noexcept
      : asio::ip::tcp::socket(std::move(other)),
        connection_(std::move(other.connection_)) {
    if (connection_) {
      connection_->AttachSocket(this);
    }
  }
  connection_socket& operator=(connection_socket&&) = delete;

  ~connection_socket() {
    if (connection_) {
      connection_->DetachSocket();
    }
  }

  server_connection& Connection() const { return *connection_; }

  template <class Buffers, class Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {  // NOLINT
    asio::ip::tcp::socket::async_read_some(
        buffers,
        [connection = connection_, handler = std::forward<Handler>(handler)](
            const std::error_code& error, std::size_t bytes) mutable {
          const server_connection::parsing_scope scope(*connection, !error);
          connection->OnInput(bytes);
          handler(error, bytes);
        });
  }

  template <class Buffers, class Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {  // NOLINT
    connection_->OnWriteStarted();
    asio::ip::tcp::socket::async_write_some(
        buffers,
        [connection = connection_, handler = std::forward<Handler>(handler)](
            const std::error_code& error, std::size_t bytes) mutable {
          // The next request may be waiting behind the answer just written.
          const server_connection::parsing_scope scope(*connection, false);
          connection->OnWriteEnded();
          handler(error, bytes);
        });
  }

  /// RESTinio always closes next, and only the close knows whether the caller
  /// must still be answered.
  void shutdown(shutdown_type /*what*/, std::error_code& /*error*/) {
  }  // NOLINT

  void close() { connection_->CloseAfterRead(); }  // NOLINT

 private:
  std::shared_ptr<server_connection> connection_;
};

}  // namespace slatestall
