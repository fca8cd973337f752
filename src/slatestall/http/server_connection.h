#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "slatestall/http/http_server.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A request whose answer is not done, as its connection sees it.
class request_in_hand {
 public:
  virtual ~request_in_hand() = default;
  virtual void OnConnectionClosed() = 0;
};

/// @brief Why a request that could not be read is turned down.
enum class read_refusal {
  kMalformed,
  kBodyTooLarge,
  kTargetTooLong,
  kHeadersTooLarge,
};

/// @brief One accepted connection: what its socket is doing, which requests it
/// has in hand, and how it ends. Shared by the socket that RESTinio drives and
/// by the responders.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
 public:
  /// Runs when the connection has ended, with its socket where unread input
  /// must be drained before that is closed.
  using closed_hook =
      std::function<void(std::optional<asio::ip::tcp::socket> unread)>;

  explicit server_connection(closed_hook on_closed);
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;

  /// @brief The connection whose input is being parsed on this thread.
  static server_connection* Parsing();

  /// @brief Marks the time that the parser runs on this connection's input.
  class parsing_scope {
   public:
    parsing_scope(server_connection& connection, bool fresh_input);
    ~parsing_scope();
    parsing_scope(const parsing_scope&) = delete;
    parsing_scope& operator=(const parsing_scope&) = delete;

   private:
    server_connection& connection_;
    server_connection* outer_;
  };

  void AttachSocket(asio::ip::tcp::socket* socket) { socket_ = socket; }
  /// @brief The socket is about to be destroyed.
  void DetachSocket();

  void OnInput(std::size_t bytes);
  void OnWriteStarted();
  void OnWriteEnded();
  /// @brief A whole request has been read.
  void OnRequest();

  /// @returns the number of the request on this connection.
  std::size_t Add(request_in_hand& request);
  void Remove(request_in_hand& request);

  /// @brief Makes this answer the last of the connection.
  /// @returns false where another request follows: ending the connection here
  /// would cut that one.
  bool EndAfter(std::size_t request_number);
  /// @brief Makes the answer to the latest request the last.
  void EndAfterLast() { end_announced_ = true; }
  bool EndAnnounced() const { return end_announced_; }

  /// @brief Puts one chunk of an answer on the socket at once, past RESTinio.
  /// Only while RESTinio has nothing to write: the caller's answer is the
  /// current one, and all that was handed over of it has been written.
  /// @returns what the socket did not take of the framed chunk; nothing where
  /// it took no byte, so that the chunk may still go another way.
  std::optional<std::string> SendChunk(std::string_view data);
  /// @brief Writes the rest of a chunk as the socket takes it. `done` runs
  /// once, or is dropped with the event loop.
  void SendRest(std::string rest, std::function<void(bool written)> done);

  void Refuse(read_refusal refusal) { refusal_ = refusal; }
  /// @brief Tells the caller to go on sending its body.
  void SendContinue();

  /// @brief The end as RESTinio sees it: answers a request that could not be
  /// read, then closes.
  void CloseAfterRead();
  /// @brief Closes at once.
  void Close();
  bool Closed() const { return closed_; }

  /// @brief Whether one of the limits has run out.
  bool Expired(time_point now, const http_server_options& options) const;

 private:
  bool AnswerRefusal();
  void SendNow(std::string_view text);
  void End(std::optional<asio::ip::tcp::socket> unread);

  closed_hook on_closed_;
  asio::ip::tcp::socket* socket_ = nullptr;
  std::vector<request_in_hand*> in_hand_;
  std::optional<read_refusal> refusal_;
  std::optional<time_point> request_started_;
  time_point last_activity_;
  std::size_t requests_ = 0;
  bool end_announced_ = false;
  bool writing_ = false;
  bool parsing_fresh_input_ = false;
  bool closed_ = false;
};

}  // namespace slatestall
