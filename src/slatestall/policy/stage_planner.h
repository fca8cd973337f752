#pragma once

#include <map>
#include <string>
#include <vector>

#include "slatestall/policy/deadline_budget.h"
#include "slatestall/policy/traffic_state.h"

namespace slatestall {

/// @brief Decides when and where stage calls are sent.
class stage_planner {
 public:
  explicit stage_planner(traffic_state& state) : state_(state) {}

  stage_decision Plan(const stage_request& request, time_point now);
  std::vector<stage_decision> TakeReady(time_point now);
  void Withdraw(stage_ticket ticket);
  retry_decision PlanRetry(const stage_request& request, time_point now);
  std::map<std::string, std::uint32_t> InFlight() const;

 private:
  /// @brief What the decisions on one call look at.
  struct call_context {
    const stage_request& request;
    const stage_config& stage;
    service_traffic& service;
    const std::string& model;  ///< "name@version", or empty.
    stage_pool& pool;
    stage_statistics& statistics;
    deadline_budget budget;
  };

  call_context ContextOf(const stage_request& request, service_traffic& service,
                         time_point now);
  stage_decision PlanHedge(call_context& call, time_point now);
  stage_decision Enqueue(call_context& call, time_point now);
  stage_decision Dispatch(call_context& call, time_point now);
  void TakeReadyOf(service_traffic& service, stage_pool& pool, time_point now,
                   std::vector<stage_decision>& ready);
  choice_request ChoiceFor(const call_context& call) const;
  /// Which endpoints do not count as another one.
  enum class kept_out { kLeavingOnly, kEjected };
  static bool AnotherEndpoint(const call_context& call,
                              const std::string& address, kept_out which,
                              time_point now);
  void SetHedge(call_context& call, stage_decision& decision, time_point now);
  void SetFirstByteTimeout(const call_context& call, stage_decision& decision,
                           time_point now) const;

  traffic_state& state_;
};

}  // namespace slatestall
