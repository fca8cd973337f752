#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Structured log of decisions: one JSON object a line on standard
/// output.
///
/// Never blocks: lines go to a thread of their own through a bounded queue,
/// and past `max_per_second` of one event they are dropped. What was dropped
/// is counted, and said with the next line of that event.
/// @ingroup gateway
class decision_log {
 public:
  decision_log(std::string host, std::uint32_t max_per_second,
               now_function now);
  ~decision_log();
  decision_log(const decision_log&) = delete;
  decision_log& operator=(const decision_log&) = delete;

  /// @param fields An object; `event` and the time are added.
  void Write(std::string_view event, nlohmann::json fields);
  std::uint64_t Dropped() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
