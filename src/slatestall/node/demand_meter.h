#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "slatestall/model/time.h"
#include "slatestall/policy/share_types.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

/// @brief What the workspaces would use here if their limits let them, as the
/// allocators of shares need it. Written by traffic threads, read by the
/// control thread.
class demand_meter {
 public:
  explicit demand_meter(time_point now) : since_(now) {}

  void Note(const request_trace& trace);
  /// @brief Smoothed demand; call about once a second.
  std::map<std::string, workspace_demand> Take(time_point now);

 private:
  struct counts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;  ///< For the limit.
    std::uint64_t tokens = 0;
    double busy_seconds = 0;
  };

  std::mutex mutex_;
  std::map<std::string, counts> counts_;
  std::map<std::string, workspace_demand> smoothed_;
  time_point since_;
};

}  // namespace slatestall
