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
  /// @brief Bytes written and not yet taken by the socket.
  virtual std::size_t PendingBytes() const = 0;
  /// @brief Sets what runs when the caller closes before the answer is done.
  virtual void OnClosed(std::function<void()> hook) = 0;
};

using http_responder_ptr = std::shared_ptr<http_responder>;
using http_handler =
    std::function<void(const http_request&, http_responder_ptr)>;

struct http_server_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: any free port, see `Port`.
  std::size_t max_body_bytes = std::size_t{1} << 20U;
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
class http_server {
 public:
  /// @throws std::system_error where the address cannot be bound.
  http_server(asio::io_context& context, const http_server_options& options,
              http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t Port() const;
  /// @brief Takes no new connections; requests in hand go on.
  void StopAccepting();
  std::size_t OpenConnections() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
