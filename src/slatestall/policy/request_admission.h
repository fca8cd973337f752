#pragma once

#include <map>
#include <string>

#include "slatestall/policy/traffic_state.h"
#include "slatestall/policy/workspace_admission.h"

namespace slatestall {

/// @brief Decides whether a request may begin: workspace limits, and whether
/// it can still make its deadline.
class request_admission {
 public:
  explicit request_admission(traffic_state& state);

  void UseSnapshot(time_point now);
  admission Admit(const admission_request& request, time_point now);
  void Release(const request_end& end, time_point now);

 private:
  admission CheckDeadline(const admission_request& request, time_point now);
  double ExpectedTokens(const pipeline_config& pipeline) const;
  void LearnTokens(const request_end& end);

  traffic_state& state_;
  workspace_admission workspaces_;
  std::map<std::string, double> mean_tokens_;  ///< By pipeline.
};

}  // namespace slatestall
