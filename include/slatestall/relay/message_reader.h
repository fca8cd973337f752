#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "slatestall/http/http_header.h"

namespace slatestall {

/// @brief First line and header fields of a message, in their order.
/// @ingroup relay
struct message_head {
  std::string method;  ///< Of a request.
  std::string target;  ///< Of a request: path and query as they were sent.
  int status = 0;      ///< Of an answer.
  http_headers headers;
  bool keep_alive = false;  ///< The connection may carry another message.
  bool expects_continue = false;
};

enum class message_kind { kRequest, kAnswer };

enum class read_fault {
  kNone,
  kMalformed,  ///< Not HTTP/1.x, or framed in a way that can be misread.
  kHeadTooLarge,
  kBodyTooLarge,
  kCutShort,  ///< The connection ended inside the message.
};

struct message_limits {
  std::size_t max_head_bytes = std::size_t{32} << 10U;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
};

/// @brief Reads HTTP/1.1 messages of one connection, one at a time.
///
/// Stricter than the parser beneath it about framing: bare line feeds, folded
/// header lines, a length beside a transfer coding, and transfer codings other
/// than "chunked" are faults, for two readers that disagree on where a message
/// ends let one request be smuggled inside another.
class message_reader {
 public:
  explicit message_reader(message_kind kind);
  ~message_reader();
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;

  /// @brief Takes bytes up to the end of the message.
  /// @param limits In force now; a connection may outlive them.
  /// @returns how many were taken; the rest belongs to the next message.
  std::size_t Feed(std::string_view bytes, const message_limits& limits);
  /// @brief The peer closed in an orderly way: an answer that says nothing of
  /// its length is complete, any other is cut short.
  void FeedEnd();
  /// @brief Makes ready for the next message.
  void Reset();
  /// @brief Of an answer: it belongs to a HEAD request and has no body.
  void ExpectNoBody();

  bool Started() const;  ///< At least one byte was taken.
  bool HeadComplete() const;
  bool Complete() const;
  read_fault Fault() const;
  message_head& Head();
  /// @brief The body's bytes since the last call.
  std::string TakeBody();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
