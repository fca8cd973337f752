#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/model/time.h"
#include "slatestall/policy/control_snapshot.h"

namespace slatestall {

/// @brief What a host would use of a workspace's limits if it were let:
/// admitted and refused for the limit together.
/// @ingroup policy
struct workspace_demand {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double concurrency = 0;
};

/// @brief A host asks the allocator of a workspace for more than its floor.
struct share_request {
  std::string workspace;
  workspace_demand demand;
  workspace_share held;      ///< Granted before, on top of the floor.
  milliseconds held_for{0};  ///< How long that grant still runs.
};

/// @brief What the allocator lends, on top of the host's floor.
struct share_grant {
  std::string workspace;
  workspace_share lent;
  milliseconds valid_for{0};  ///< From when the request was sent.
  milliseconds ask_again{0};  ///< When to ask next.
};

/// @brief Numbers all hosts must agree on.
struct share_rules {
  /// Part of its equal share that every host has without asking. The rest is
  /// the pool that allocators lend.
  double floor_part = 0.5;
  /// Shortest time between two requests of one host.
  milliseconds min_interval{2'000};
  /// What an allocator's traffic for one workspace may cost.
  /// Unit: bytes a second, both ways.
  double max_bytes_per_second = 1'500;
  /// Bytes of one request with its answer, for that bound.
  double bytes_per_request = 260;
  /// A grant outlives this many intervals, so that one lost message does not
  /// take it away.
  double grant_intervals = 2.5;
  /// Lent above what is asked, so that growing demand is not held back until
  /// the next request.
  double headroom = 1.25;
};

}  // namespace slatestall
