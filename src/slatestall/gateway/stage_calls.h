#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "slatestall/dispatch/piece_queue.h"
#include "slatestall/dispatch/stage_admission.h"
#include "slatestall/model/time.h"

namespace slatestall {

enum class stage_end {
  kMade,
  kTooLate,     ///< No result in time for any use.
  kInputsGone,  ///< Results that it needs are no longer kept.
  kDisplaced,   ///< Gave way to more urgent work before any piece was made.
  kFailed,      ///< Tried as often as makes sense.
};

/// @brief What became of all pieces of one stage of one request.
/// @ingroup gateway
struct stage_outcome {
  stage_end end = stage_end::kFailed;
  std::vector<std::string> handles;  ///< By piece, of `kMade`.
};

using stage_number = std::uint64_t;  ///< Names a submitted group; never 0.

/// @brief The endpoints of a stage service that one host at a time forms the
/// calls for: all of them, or those of one failure domain.
struct stage_shard {
  std::string service;
  std::string domain;  ///< Empty: all of them.

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang-tidy 14.
  friend auto operator<=>(const stage_shard&, const stage_shard&) = default;
};

/// @brief One stage that a request is going to need, and where.
struct stage_need {
  stage_shard shard;
  stage_booking booking;
};

/// @brief Has the pieces of requests made.
struct stage_calls {
  /// Asks for room in all of the stages that a request needs; `done` runs
  /// once, possibly from inside the call. Refused: nothing is held.
  std::function<void(std::vector<stage_need> needs,
                     std::function<void(booking_answer)> done)>
      book;
  /// Gives up the room of stages that will not be submitted.
  std::function<void(const std::vector<stage_need>& needs)> release;
  /// `done` runs once, never from inside the call, unless cancelled.
  std::function<stage_number(const stage_shard& shard, piece_group group,
                             std::function<void(stage_outcome)> done)>
      submit;
  /// The shard to make a request's pieces in, with all of one request's stages
  /// near one another where there are several. `near` may be empty. Only
  /// endpoints in the regions are used.
  std::function<stage_shard(const std::string& service,
                            const std::string& request, const std::string& near,
                            const region_limit& regions)>
      shard_for;
  /// Results made later are given up.
  std::function<void(stage_number)> cancel;
  /// Lets endpoints forget results.
  std::function<void(std::vector<std::string> handles)> free;
  /// How long pieces of a service take from being submitted to being made, as
  /// was seen of late.
  std::function<duration(const std::string& service)> usual_time;
};

}  // namespace slatestall
