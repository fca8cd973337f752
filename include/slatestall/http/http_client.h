#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "slatestall/http/http_header.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How a call ended as seen by the transport.
/// @ingroup http
enum class call_end {
  kComplete,       ///< A whole answer, of any status.
  kConnectFailed,  ///< No connection was made; no byte left this host.
  kTimedOut,
  /// The connection ended inside the answer or before it, or the answer does
  /// not say where it ends, so that a cut one would look whole.
  kTruncated,
  kTooLarge,  ///< Passed `max_answer_bytes`, or 64 KiB of headers.
  kCancelled,
  kRejected,  ///< `accept` turned it down; its connection is closed.
};

struct http_call {
  std::string method = "GET";
  std::string url;
  http_headers headers;
  std::string body;
  milliseconds connect_timeout{250};
  milliseconds timeout{6000};
  std::size_t max_answer_bytes = std::size_t{16} << 20U;
  /// A call that must not be sent twice: takes a new connection, since
  /// libcurl silently resends when a reused one turns out to be dead.
  bool at_most_once = false;
  /// Called with the status as soon as it is known, before any data.
  std::function<void(int status)> on_status;
  /// Judges an answer by its headers; false drops it and closes the
  /// connection, so that nothing else of it can reach another call.
  std::function<bool(const http_headers&)> accept;
  /// Takes body data as it arrives (status 2xx only); `body` of the result is
  /// then empty.
  std::function<void(std::string_view)> on_data;
  /// Runs after `on_data` has had all that one read brought, outside libcurl,
  /// which hands over each chunk of a chunked answer by itself.
  std::function<void()> on_read;
};

struct http_result {
  call_end end = call_end::kCancelled;
  int status = 0;
  http_headers headers;
  std::string body;
  /// False only where no byte of the call can have left this host.
  bool may_have_been_sent = false;
  std::string detail;  ///< For logs.
};

/// @brief Runs HTTP/1.1 calls by libcurl on one io_context; used only from
/// the thread that runs it.
///
/// Keeps up to 256 idle connections. Follows no redirects and no proxy of the
/// environment. Every method, and the destructor, may be called from a hook or
/// a completion; what one of these throws comes out of the event loop.
class http_client {
 public:
  /// Takes the bytes that an ended call sent and received, headers included,
  /// those of TCP/IP not.
  using traffic_meter = std::function<void(
      const std::string& url, std::uint64_t sent, std::uint64_t received)>;
  using call_number = std::uint64_t;
  using completion = std::function<void(http_result)>;

  explicit http_client(asio::io_context& context);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// @brief Starts a call; `done` runs exactly once, from the event loop and
  /// never from inside `Start`, unless the call is cancelled.
  call_number Start(http_call call, completion done);

  /// @brief Ends a call at once and closes its connection; its `done` is not
  /// called. Unknown numbers are ignored.
  void Cancel(call_number number);

  std::size_t InFlight() const;

  /// @brief Has every call that ends counted; cancelled ones are not.
  void SetMeter(traffic_meter meter);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
