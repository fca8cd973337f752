#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

using log_offset = std::uint64_t;

/// @brief One record of a stream of the platform's log.
/// @ingroup platform
struct log_record {
  log_offset offset = 0;
  std::string payload;
};

/// @brief How an append ended as far as this host can tell.
enum class append_end {
  kAppended,
  kRefused,  ///< The log said no (rate, size): the record is not in it.
  kUnknown,  ///< No answer: the record may be in the log.
};

struct append_result {
  append_end end = append_end::kUnknown;
  log_offset offset = 0;  ///< Valid for `kAppended`.
  std::string detail;
};

struct read_result {
  bool ok = false;
  log_offset first = 0;             ///< Oldest offset the log still keeps.
  log_offset next = 0;              ///< Offset the next append will get.
  std::vector<log_record> records;  ///< In offset order, from the one asked.
  std::string detail;
};

/// @brief The platform's append-only log; tests pass a fake in its place.
/// Completions run on the control thread, never from inside the call.
struct log_service {
  std::function<void(const std::string& stream, std::string payload,
                     std::function<void(append_result)> done)>
      append;
  /// Waits up to `wait` for a record at or after `from`.
  std::function<void(const std::string& stream, log_offset from,
                     milliseconds wait, std::function<void(read_result)> done)>
      read;
};

}  // namespace slatestall
