#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/priority_class.h"
#include "slatestall/model/stage_usage.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief One decision taken for a request, for `explain`. Holds no prompt,
/// answer or key.
/// @ingroup serve
struct decision_note {
  microseconds at{0};  ///< Since the request arrived.
  std::string stage;   ///< Empty: of the whole request.
  std::string attempt;
  std::string endpoint;
  std::string what;  ///< E.g. "dispatch", "wait", "retry", "crossed".
  std::string reason;
};

/// @brief What became of one request.
struct request_trace {
  std::string id;
  std::string workspace;
  std::string pipeline;  ///< Or the plain service called directly.
  priority_class priority = priority_class::kInteractive;
  milliseconds deadline{0};
  microseconds total{0};
  std::optional<microseconds> first_byte;  ///< Of a streamed answer.
  /// Answered in full; within `deadline` if `total` is.
  bool answered_in_full = false;
  bool replayed = false;            ///< Given the outcome of an earlier one.
  std::optional<error_kind> error;  ///< Where not answered in full.
  ran may_have_run = ran::kNo;
  std::vector<stage_usage> usages;  ///< One an attempt with known use.
  std::vector<decision_note> notes;
};

using request_trace_ptr = std::shared_ptr<const request_trace>;

/// @brief The trace as JSON text.
std::string TraceAsJson(const request_trace& trace);

}  // namespace slatestall
