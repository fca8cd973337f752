#pragma once

#include <cstddef>

#include "slatestall/policy/stage_statistics.h"

namespace slatestall {

/// @brief What is left of a deadline, divided over the stages that are left.
class deadline_budget {
 public:
  /// @param stage The stage about to run; later ones must still fit.
  deadline_budget(const pipeline_statistics& pipeline, std::size_t stage,
                  time_point deadline);

  /// @brief The last moment to start the stage that still gives it and the
  /// later stages their usual time.
  time_point LatestStart() const;
  bool CanStart(time_point now) const { return now <= LatestStart(); }

  /// @brief Time for one attempt. Where another attempt may follow, it is
  /// bounded by the time that nearly all answers need.
  /// @param answer Latency of this stage.
  milliseconds AttemptTimeout(const latency_summary& answer, bool repeatable,
                              time_point now) const;

 private:
  double needed_;  ///< Seconds for this stage and the later ones.
  double later_;   ///< Seconds for the later stages.
  time_point deadline_;
};

}  // namespace slatestall
