#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "slatestall/dispatch/piece_queue.h"
#include "slatestall/model/time.h"

namespace slatestall {

enum class stage_end {
  kMade,
  kTooLate,     ///< No result in time for any use.
  kInputsGone,  ///< Results that it needs are no longer kept.
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

  friend auto operator<=>(const stage_shard&, const stage_shard&) = default;
};

/// @brief Has the pieces of requests made.
struct stage_calls {
  /// `done` runs once, never from inside the call, unless cancelled.
  std::function<stage_number(const std::string& service, piece_group group,
                             std::function<void(stage_outcome)> done)>
      submit;
  /// Results made later are given up.
  std::function<void(stage_number)> cancel;
  /// Lets endpoints forget results.
  std::function<void(std::vector<std::string> handles)> free;
  /// How long pieces submitted now would wait for their call to begin.
  std::function<duration(const std::string& service, int rank)> expected_wait;
};

}  // namespace slatestall
