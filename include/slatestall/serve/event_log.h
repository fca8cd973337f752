#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief How urgent a logged event is.
/// @ingroup serve
enum class log_severity { kDebug, kInfo, kWarning, kError };

/// @brief One event about a request. Never holds prompts, answers or keys.
struct log_event {
  log_severity severity = log_severity::kInfo;
  std::string_view message;
  std::string_view request;
  std::string_view workspace;
  std::string_view stage;
  std::string_view endpoint;
  std::string_view attempt;
  std::string_view detail;
};

/// @brief Sends the process's log to standard error, one JSON object a line.
/// @param level "debug", "info", "warn" or "error".
void ConfigureLog(const std::string& level);

/// @brief Log of one traffic thread. Past `max_per_second` events of one
/// severity the rest of that second is dropped and counted: a fault that hits
/// every request must not also cost every request a line.
class event_log {
 public:
  event_log(now_function now, std::uint32_t max_per_second);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  void Write(const log_event& event);
  /// @brief Events dropped so far; from any thread.
  std::uint64_t Dropped() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
