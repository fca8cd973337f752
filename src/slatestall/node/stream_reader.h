#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "slatestall/model/time.h"
#include "slatestall/platform/log_service.h"

namespace slatestall {

/// @brief What the owner of a `stream_reader` decides.
struct stream_reader_hooks {
  /// Offset to read from next.
  std::function<log_offset()> from;
  /// Whether what comes next may be waited for; else the log is to answer at
  /// once with what it has.
  std::function<bool()> may_wait;
  /// Takes an answer, also one that is not `ok`.
  /// @return How long to leave the log alone.
  std::function<milliseconds(const read_result&)> take;
};

/// @brief Reads one stream of the log on and on by long polls; backs off while
/// the log does not answer.
class stream_reader {
 public:
  stream_reader(asio::io_context& context, log_service log, std::string stream,
                now_function now, stream_reader_hooks hooks);
  ~stream_reader();
  stream_reader(const stream_reader&) = delete;
  stream_reader& operator=(const stream_reader&) = delete;

  void Start();
  /// @brief Whether the last read was answered.
  bool Reachable() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace slatestall
