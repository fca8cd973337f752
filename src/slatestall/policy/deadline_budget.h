#pragma once

#include <cstddef>

#include "slatestall/policy/stage_statistics.h"

namespace slatestall {

/// @brief What is left of a deadline, divided over the stages that are left.
class deadline_budget {
 public:
  /// @param stage The stage about to run; later ones must still fit.
  deadline_budget(const pipeline_statistics& pipeline, std::size_t stage,
                  time_point deadline, priority_class priority);

  /// @brief The last moment to start the stage that makes the deadline
  /// likely. Later, capacity that others wait for would be wasted.
  time_point LatestStart() const;
  /// @brief The last moment that leaves a chance. Up to it a call may use
  /// capacity that nobody else wants, which also keeps estimates true: were
  /// calls refused by an estimate that only calls can correct, an overload
  /// that has passed would be remembered until it fades.
  time_point LastChance() const;

  /// @brief Time for this stage alone.
  milliseconds TimeLeft(time_point now) const;

  /// @brief Time for one attempt.
  /// @param bounded Another attempt may follow, so it gets no more than the
  /// time that nearly all answers need.
  /// @param answer Latency of this stage.
  /// @param others_wait Whether calls wait for the same endpoints.
  milliseconds AttemptTimeout(const latency_summary& answer, bool bounded,
                              bool others_wait, time_point now) const;

 private:
  double likely_;  ///< Seconds for this stage and the later ones.
  double fast_;    ///< The same at best.
  double later_;   ///< Seconds for the later stages.
  time_point deadline_;
};

}  // namespace slatestall
