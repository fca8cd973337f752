#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "slatestall/model/time.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief Asks the policy for decisions on stage calls and brings those that
/// had to wait back to their stages.
class call_scheduler {
 public:
  using decision_handler = std::function<void(const stage_decision&)>;

  call_scheduler(asio::io_context& context, traffic_policy& policy,
                 now_function now);

  /// @brief A ticket no other call of this thread has had.
  stage_ticket NextTicket() { return ++last_ticket_; }

  /// @brief Decides at once. With `kWait`, `later` runs once from the event
  /// loop, unless withdrawn.
  stage_decision Plan(const stage_request& request, const std::string& service,
                      decision_handler later);
  /// @brief Forgets a waiting call. Unknown tickets are ignored.
  void Withdraw(stage_ticket ticket);
  void Ended(const attempt_report& report);
  retry_decision PlanRetry(const stage_request& request);
  void UseSnapshot(const control_snapshot_ptr& snapshot);

  admission Admit(const admission_request& request);
  void Release(const request_end& end);

 private:
  struct waiting_call {
    decision_handler later;
    attempt_report if_dropped;  ///< Undoes a dispatch nobody wants any more.
    bool withdrawn = false;
  };

  void WakeLater();
  void DeliverReady();
  void Deliver(const stage_decision& decision,
               const std::shared_ptr<waiting_call>& call);
  void StartTimer();

  asio::io_context& context_;
  traffic_policy& policy_;
  now_function now_;
  asio::steady_timer timer_;
  bool timer_runs_ = false;
  bool wake_posted_ = false;
  stage_ticket last_ticket_ = 0;
  std::unordered_map<stage_ticket, std::shared_ptr<waiting_call>> waiting_;
  std::shared_ptr<call_scheduler*> alive_;
};

}  // namespace slatestall
