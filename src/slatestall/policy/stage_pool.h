#pragma once

#include <optional>

#include "slatestall/policy/class_usage.h"
#include "slatestall/policy/service_capacity.h"
#include "slatestall/policy/stage_queue.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief The calls of one thread to the endpoints of one service that hold
/// one model: those in flight, those that wait, and how many may be in flight.
class stage_pool {
 public:
  explicit stage_pool(const traffic_policy_options& options);

  stage_queue& Queue() { return queue_; }
  const stage_queue& Queue() const { return queue_; }
  class_usage& Usage() { return usage_; }
  bool Idle() const { return queue_.Empty() && usage_.Total() == 0; }

  /// @brief Measures the capacity anew where it is stale.
  void Refresh(const endpoint_set::subset& endpoints,
               const domain_circuit& circuit, double sharers, time_point now);
  /// @brief The endpoints have changed: the next `Refresh` measures.
  void MarkStale() { measured_ = {}; }

  /// @brief Whether a call of the class may be sent now.
  bool HasRoom(priority_class priority, time_point now);
  /// @brief Whether a hedge, which must take only spare room, may be sent.
  bool HasSpareRoom() const;
  /// @brief The class whose waiting call is to be sent next, if one may.
  std::optional<priority_class> NextClass(time_point now);
  /// @brief Whether a new call would overtake one that should go first.
  bool MustWaitInLine(priority_class priority, time_point now);

  /// @brief Seconds that a new call of the class would wait here.
  double ExpectedWait(priority_class priority, time_point deadline) const;

  /// @brief Seconds that a call holds a slot, over all stages.
  double MeanTime() const { return mean_time_; }
  void LearnTime(double seconds);

 private:
  bool queueing_;
  bool lending_;
  double mean_time_ = 0;
  stage_queue queue_;
  class_usage usage_;
  service_capacity capacity_;
  time_point measured_{};
};

}  // namespace slatestall
