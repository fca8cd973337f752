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
  milliseconds pace{0};      ///< The asker will not ask again before.
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
  double floor_part = 0.25;
  /// Shortest time between two requests of one host.
  milliseconds min_interval{2'000};
  /// What a host may spend on asking, and again on answering as allocator.
  /// Unit: bytes a second, requests and answers together.
  double max_bytes_per_second = 1'200;
  double bytes_per_entry = 76;     ///< Of one workspace, both ways.
  double bytes_per_message = 200;  ///< The rest of a request and its answer.
  /// A grant outlives this many intervals, so that one lost message does not
  /// take it away.
  double grant_intervals = 2.5;
  /// Lent above what is asked, so that growing demand is not held back until
  /// the next request.
  double headroom = 1.25;
};

}  // namespace slatestall
