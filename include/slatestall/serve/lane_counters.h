#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "slatestall/model/name_table.h"

namespace slatestall {

/// @brief Events that one traffic thread counts.
/// @ingroup serve
enum class lane_event {
  kRequest,
  kAnsweredInFull,
  kRefused,
  kFailed,
  kCancelled,
  kReplayed,
  kAttempt,
  kRetry,
  kHedge,
  kResume,
  kCrossedAnswer,
  kDoubledEvent,
  kTruncatedAnswer,
  kGapInStream,
  kLateAnswer,
  kMalformedAnswer,
  kOutcomeUnknown,
  kHeldBack,
};

inline constexpr std::size_t kLaneEventCount = 18;

inline constexpr name_table<lane_event, kLaneEventCount> kLaneEventNames{{
    {lane_event::kRequest, "requests"},
    {lane_event::kAnsweredInFull, "answered_in_full"},
    {lane_event::kRefused, "refused"},
    {lane_event::kFailed, "failed"},
    {lane_event::kCancelled, "cancelled"},
    {lane_event::kReplayed, "replayed"},
    {lane_event::kAttempt, "attempts"},
    {lane_event::kRetry, "retries"},
    {lane_event::kHedge, "hedges"},
    {lane_event::kResume, "resumes"},
    {lane_event::kCrossedAnswer, "crossed_answers"},
    {lane_event::kDoubledEvent, "doubled_events"},
    {lane_event::kTruncatedAnswer, "truncated_answers"},
    {lane_event::kGapInStream, "stream_gaps"},
    {lane_event::kLateAnswer, "late_answers"},
    {lane_event::kMalformedAnswer, "malformed_answers"},
    {lane_event::kOutcomeUnknown, "outcomes_unknown"},
    {lane_event::kHeldBack, "held_back_events"},
}};

/// @brief Counts of one traffic thread; read from any thread.
class lane_counters {
 public:
  void Count(lane_event event) {
    values_[static_cast<std::size_t>(event)].fetch_add(
        1, std::memory_order_relaxed);
  }
  std::uint64_t Value(lane_event event) const {
    return values_[static_cast<std::size_t>(event)].load(
        std::memory_order_relaxed);
  }

 private:
  std::array<std::atomic<std::uint64_t>, kLaneEventCount> values_{};
};

}  // namespace slatestall
