#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "slatestall/http/http_header.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief One request as it arrived, body included.
/// @ingroup http
struct http_request {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Without the question mark.
  http_headers headers;
  std::string body;
};

/// @brief Answers one request; used only from the server's thread. Dropped
/// without an answer it sends a 500.
class http_responder {
 public:
  virtual ~http_responder() = default;

  /// @brief Sends a whole answer.
  virtual void Send(int status, const http_headers& headers,
                    std::string body) = 0;
  /// @brief Starts a chunked answer.
  virtual void StartStream(int status, const http_headers& headers) = 0;
  virtual void Write(std::string chunk) = 0;
  /// @brief Ends a chunked answer as whole.
  virtual void Finish() = 0;
  /// @brief Closes the connection without the closing chunk, so that the
  /// caller sees that the answer is not whole.
  virtual void Abort() = 0;
  /// @brief Bytes written and not yet taken by the socket. Past
  /// `max_pending_bytes` the connection is closed.
  virtual std::size_t PendingBytes() const = 0;
  /// @brief Sets what runs, once and from the event loop, when the connection
  /// ends before the answer is done: the caller closed (its sending half is
  /// enough), a time limit ran out, or the server went away. Not after
  /// `Abort`. A caller with two requests in hand on one connection is seen to
  /// close only when the first is answered.
  virtual void OnClosed(std::function<void()> hook) = 0;
};

using http_responder_ptr = std::shared_ptr<http_responder>;
using http_handler =
    std::function<void(const http_request&, http_responder_ptr)>;

/// Bounds beside the options: a request target of 8 KiB, 100 header fields,
/// names of 256 bytes and values of 16 KiB, 80 KiB of headers in all, and two
/// requests in hand on one connection. A server holds at most
/// `max_connections` times (2 `max_body_bytes` + 2 `max_pending_bytes`) and
/// the whole answers given to `Send`.
struct http_server_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: any free port, see `Port`.
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  /// Connections above it wait in the listening socket's backlog.
  std::size_t max_connections = 4096;
  /// Several servers, each on its own thread, may share the port.
  bool share_port = false;
  /// From the first byte of a request to its last.
  milliseconds read_timeout{30'000};
  /// Without a byte of the answer taken by the caller.
  milliseconds write_timeout{15'000};
  /// Without a byte of the answer written by the handler.
  milliseconds answer_timeout{120'000};
  /// Between requests of one connection.
  milliseconds idle_timeout{75'000};
  /// Of one chunked answer; a caller that lets more pile up is cut off.
  std::size_t max_pending_bytes = std::size_t{4} << 20U;
};

/// @brief HTTP/1.1 server by RESTinio on one io_context.
///
/// Answers by itself what it cannot read: 413 for a body past the bound, 414,
/// 431, else 400. A handler that throws has its request answered with 500 or
/// its stream cut. An offer to upgrade is passed over.
class http_server {
 public:
  /// @throws std::system_error where the address cannot be bound.
  http_server(asio::io_context& context, const http_server_options& options,
              http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t Port() const;
  /// @brief Takes what waits in the backlog and then no new connections.
  /// Requests in hand go on. Idle connections stay, since a request may be
  /// under way on them; the next answer on each is its last.
  void StopAccepting();
  std::size_t OpenConnections() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
