#pragma once

#include <map>
#include <mutex>
#include <string>

#include "slatestall/policy/demand_estimate.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

/// @brief What the workspaces would use here if their limits let them, as the
/// allocators of shares need it. Written by traffic threads, read by the
/// control thread.
class demand_meter {
 public:
  explicit demand_meter(time_point now) : estimate_(now) {}

  void Note(const request_trace& trace);
  /// @brief Smoothed demand; call about once a second.
  std::map<std::string, workspace_demand> Take(time_point now);

 private:
  std::mutex mutex_;
  demand_estimate estimate_;
};

}  // namespace slatestall
