#pragma once

#include <functional>

#include "slatestall/model/stage_usage.h"
#include "slatestall/policy/traffic_policy.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/stage_attempt.h"
#include "slatestall/serve/stage_spec.h"

namespace slatestall {

/// @brief Tells the policy how each dispatched attempt of a stage ended, and
/// the request what each consumed.
class attempt_accounts {
 public:
  /// @param spec Outlives the accounts.
  attempt_accounts(const lane_environment& environment, const stage_spec& spec,
                   std::function<void(const stage_usage&)> on_usage);

  /// @brief A dispatch that was decided and not made.
  void Unsent(const stage_decision& decision) const;
  void Ended(const stage_attempt& attempt, const attempt_result& result) const;
  /// @param told What the endpoint said it consumed, or null.
  void Use(const stage_attempt& attempt, attempt_use use,
           const call_usage* told) const;

 private:
  attempt_report ReportOf(stage_ticket ticket, const std::string& address,
                          attempt_end end) const;

  const lane_environment& environment_;
  const stage_spec& spec_;
  std::function<void(const stage_usage&)> on_usage_;
};

}  // namespace slatestall
