#pragma once

#include <map>
#include <string>

#include "slatestall/policy/class_usage.h"
#include "slatestall/policy/control_snapshot.h"
#include "slatestall/policy/token_bucket.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief Concurrency that need not be whole: a share of 0.25 lets one request
/// run a quarter of the time, so that the sum over many hosts holds.
class fractional_limit {
 public:
  /// @param limit 0: no limit.
  void Set(double limit) { limit_ = limit; }
  bool Limited() const { return limit_ > 0; }

  /// @brief Whole requests that may run at once now.
  double Allowed(std::uint32_t in_use, time_point now);

 private:
  double limit_ = 0;
  double credit_ = 0;  ///< Seconds of one request that the fraction has saved.
  time_point counted_{};
};

/// @brief Holds each workspace to this thread's share of its limits.
class workspace_admission {
 public:
  /// @param lanes Traffic threads that divide the host's share.
  workspace_admission(std::uint32_t lanes, double batch_floor);

  /// @brief Takes new shares; running requests keep running.
  void UseShares(const std::map<std::string, workspace_share>& shares,
                 time_point now);

  admission Admit(const std::string& workspace, priority_class priority,
                  double expected_tokens, time_point now);
  /// @brief Settles the tokens that `Admit` charged against what was made.
  void Release(const std::string& workspace, priority_class priority,
               double generated_tokens, time_point now);

 private:
  struct workspace_state {
    explicit workspace_state(double batch_floor)
        : requests(batch_floor), tokens(batch_floor), usage(batch_floor) {}

    class_buckets requests;
    class_buckets tokens;
    fractional_limit concurrency;
    class_usage usage;
    double charged_tokens = 0;  ///< For requests in use.
    bool shared = false;        ///< The snapshot has limits for it.
  };

  void Apply(workspace_state& state, const workspace_share& share,
             time_point now) const;

  double lanes_;
  double batch_floor_;
  std::map<std::string, workspace_state> workspaces_;
};

}  // namespace slatestall
