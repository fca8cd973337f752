#pragma once

#include <optional>
#include <string>
#include <vector>

#include "slatestall/policy/class_usage.h"
#include "slatestall/policy/endpoint_choice.h"
#include "slatestall/policy/endpoint_set.h"
#include "slatestall/policy/service_capacity.h"
#include "slatestall/policy/stage_queue.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief Everything one traffic thread keeps of one service: its endpoints,
/// the calls in flight and the calls that wait.
class service_traffic {
 public:
  explicit service_traffic(const traffic_policy_options& options);

  void Update(const service_view& view, std::uint32_t live_hosts,
              const domain_circuit& circuit, time_point now);
  void Remove() { endpoints_.UnlistAll(); }
  /// @brief Whether nothing is in flight or waiting.
  bool Idle() const { return queue_.Empty() && endpoints_.Idle(); }

  bool Repeatable() const { return repeatable_; }
  endpoint_set& Endpoints() { return endpoints_; }
  const endpoint_set& Endpoints() const { return endpoints_; }
  endpoint_choice& Choice() { return choice_; }
  stage_queue& Queue() { return queue_; }
  class_usage& Usage() { return usage_; }

  /// @brief Whether a call of the class may be sent now.
  bool HasRoom(priority_class priority, time_point now);
  /// @brief Whether a hedge, which must take only spare room, may be sent.
  bool HasSpareRoom(time_point now);
  /// @brief The class whose waiting call is to be sent next, if one may.
  std::optional<priority_class> NextClass(time_point now);
  /// @brief Whether a new call would overtake one that should go first.
  bool MustWaitInLine(priority_class priority, time_point now);

  /// @brief Seconds that a new call of the class would wait here.
  double ExpectedWait(priority_class priority) const;

  /// @brief Seconds that a call holds a slot, over all stages.
  double MeanTime() const { return mean_time_; }
  void LearnTime(double seconds);

  void RefreshCapacity(const domain_circuit& circuit, time_point now);
  /// @brief Ejects `state` if it deserves that and enough others are left.
  void JudgeHealth(endpoint_state& state, time_point now);

 private:
  bool MayEjectOneMore(time_point now) const;

  bool queueing_;
  double lanes_;
  double sharers_ = 1;
  bool repeatable_ = true;
  double mean_time_ = 0;
  endpoint_set endpoints_;
  endpoint_choice choice_;
  stage_queue queue_;
  class_usage usage_;
  service_capacity capacity_;
  time_point measured_{};
};

}  // namespace slatestall
