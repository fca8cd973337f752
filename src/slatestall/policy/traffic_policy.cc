#include "slatestall/policy/traffic_policy.h"

#include <utility>

#include "slatestall/policy/attempt_learner.h"
#include "slatestall/policy/request_admission.h"
#include "slatestall/policy/stage_planner.h"
#include "slatestall/policy/traffic_state.h"

namespace slatestall {

class traffic_policy::impl {
 public:
  explicit impl(traffic_policy_options options)
      : state_(std::move(options)),
        admission_(state_),
        planner_(state_),
        learner_(state_) {}

  void UseSnapshot(const control_snapshot_ptr& snapshot, time_point now) {
    state_.Use(snapshot, now);
    admission_.UseSnapshot(now);
  }

  request_admission& Admission() { return admission_; }
  stage_planner& Planner() { return planner_; }
  attempt_learner& Learner() { return learner_; }

 private:
  traffic_state state_;
  request_admission admission_;
  stage_planner planner_;
  attempt_learner learner_;
};

traffic_policy::traffic_policy(traffic_policy_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}
traffic_policy::~traffic_policy() = default;

void traffic_policy::UseSnapshot(const control_snapshot_ptr& snapshot,
                                 time_point now) {
  impl_->UseSnapshot(snapshot, now);
}

admission traffic_policy::Admit(const admission_request& request,
                                time_point now) {
  return impl_->Admission().Admit(request, now);
}

void traffic_policy::Release(const request_end& end, time_point now) {
  impl_->Admission().Release(end, now);
}

stage_decision traffic_policy::Plan(const stage_request& request,
                                    time_point now) {
  return impl_->Planner().Plan(request, now);
}

std::vector<stage_decision> traffic_policy::TakeReady(time_point now) {
  return impl_->Planner().TakeReady(now);
}

void traffic_policy::Withdraw(stage_ticket ticket) {
  impl_->Planner().Withdraw(ticket);
}

void traffic_policy::Ended(const attempt_report& report, time_point now) {
  impl_->Learner().Ended(report, now);
}

retry_decision traffic_policy::PlanRetry(const stage_request& request,
                                         time_point now) {
  return impl_->Planner().PlanRetry(request, now);
}

std::map<std::string, std::uint32_t> traffic_policy::InFlight() const {
  return impl_->Planner().InFlight();
}

}  // namespace slatestall
