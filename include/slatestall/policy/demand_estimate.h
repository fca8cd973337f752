#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "slatestall/model/time.h"
#include "slatestall/policy/share_types.h"

namespace slatestall {

/// @brief Estimates what the workspaces would use of a host if their limits
/// let them, from how their requests ended.
/// @ingroup policy
class demand_estimate {
 public:
  explicit demand_estimate(time_point now) : since_(now) {}

  /// @param busy_seconds From arrival to the end.
  void Ended(const std::string& workspace, double busy_seconds,
             std::uint64_t tokens);
  /// @brief A request was refused for the limit.
  void Refused(const std::string& workspace);

  /// @brief Smoothed demand; call about once a second.
  std::map<std::string, workspace_demand> Take(time_point now);

 private:
  struct counts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t tokens = 0;
    double busy_seconds = 0;
  };

  std::map<std::string, counts> counts_;
  std::map<std::string, workspace_demand> smoothed_;
  time_point since_;
};

}  // namespace slatestall
