#pragma once

#include "slatestall/policy/traffic_state.h"

namespace slatestall {

/// @brief Takes the ends of attempts: their endpoints get their slots back, and
/// what the ends teach about endpoints, failure domains and stages is kept.
class attempt_learner {
 public:
  explicit attempt_learner(traffic_state& state) : state_(state) {}

  void Ended(const attempt_report& report, time_point now);

 private:
  void Learn(service_traffic& service, endpoint_state& endpoint,
             const call_in_flight& call, const attempt_report& report,
             time_point now);
  void CountDomainFailure(const endpoint_state& endpoint, time_point now);
  static void LearnUnfinished(endpoint_state& endpoint,
                              const call_in_flight& call,
                              const attempt_report& report,
                              const stage_statistics* statistics);

  traffic_state& state_;
};

}  // namespace slatestall
