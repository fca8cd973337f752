#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "slatestall/model/time.h"
#include "standins/endpoint/call_identity.h"

namespace slatestall {

class event_stream;

/// @brief One answer that an engine is producing or keeps for a resume.
struct generation {
  call_identity call;  ///< Of the attempt that began it.
  std::string prompt;  ///< Empty once it is in the batch.
  std::string answer_key;
  std::uint32_t length = 0;  ///< Tokens of the whole answer.
  std::uint32_t max_tokens = 0;
  std::uint32_t produced = 0;
  int priority = 0;  ///< Lower runs first.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  double prefill_left_ms = 0;
  double engine_ms = 0;
  bool started = false;
  bool completion_recorded = false;
  time_point kept_until = time_point::max();
  std::shared_ptr<event_stream> stream;  ///< Null while no caller listens.

  bool IsComplete() const { return produced >= length; }
};

using generation_ptr = std::shared_ptr<generation>;

}  // namespace slatestall
