#include "slatestall/policy/traffic_policy.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

bool Usable(const endpoint_view& view, const stage_request& request) {
  const auto& tried = request.tried;
  return !view.leaving && !view.load.leaving &&
         std::find(tried.begin(), tried.end(), view.where.address) ==
             tried.end();
}

milliseconds TimeLeft(time_point deadline, time_point now) {
  return std::chrono::duration_cast<milliseconds>(deadline - now);
}

}  // namespace

class traffic_policy::impl {
 public:
  explicit impl(traffic_policy_options options)
      : options_(std::move(options)) {}

  void UseSnapshot(control_snapshot_ptr snapshot) {
    snapshot_ = std::move(snapshot);
  }

  admission Admit() const {
    admission result;
    if (snapshot_ == nullptr || snapshot_->configuration == nullptr) {
      result.refusal = error_kind::kNoConfiguration;
      result.reason = "no configuration in force";
      return result;
    }
    result.admitted = true;
    return result;
  }

  stage_decision Plan(const stage_request& request, time_point now) {
    stage_decision decision;
    decision.ticket = request.ticket;
    if (request.deadline <= now) {
      decision.refusal = error_kind::kDeadlineUnreachable;
      decision.reason = "deadline passed";
      return decision;
    }
    const std::string& service =
        request.pipeline->stages.at(request.stage).service;
    const endpoint_view* chosen = Next(service, request);
    if (chosen == nullptr) {
      decision.refusal = error_kind::kNoEndpoint;
      decision.reason = "no endpoint of " + service + " takes work";
      return decision;
    }
    decision.verdict = stage_verdict::kDispatch;
    decision.address = chosen->where.address;
    decision.attempt_timeout = TimeLeft(request.deadline, now);
    decision.engine_priority =
        request.priority == priority_class::kInteractive ? 0 : 1;
    ++in_flight_[decision.address];
    return decision;
  }

  void Ended(const attempt_report& report) {
    const auto found = in_flight_.find(report.address);
    if (found == in_flight_.end()) {
      return;
    }
    --found->second;
    if (found->second == 0) {
      in_flight_.erase(found);
    }
  }

  static retry_decision PlanRetry(const stage_request& request,
                                  time_point now) {
    retry_decision decision;
    decision.retry = request.deadline > now;
    decision.reason = decision.retry ? "time left" : "deadline passed";
    return decision;
  }

  std::map<std::string, std::uint32_t> InFlight() const { return in_flight_; }

 private:
  const endpoint_view* Next(const std::string& service,
                            const stage_request& request) {
    if (snapshot_ == nullptr) {
      return nullptr;
    }
    const auto found = snapshot_->services.find(service);
    if (found == snapshot_->services.end()) {
      return nullptr;
    }
    const auto& endpoints = found->second.endpoints;
    std::size_t& turn = turns_[service];
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const endpoint_view& view = endpoints[turn++ % endpoints.size()];
      if (Usable(view, request)) {
        return &view;
      }
    }
    return nullptr;
  }

  traffic_policy_options options_;
  control_snapshot_ptr snapshot_;
  std::map<std::string, std::size_t> turns_;
  std::map<std::string, std::uint32_t> in_flight_;
};

traffic_policy::traffic_policy(traffic_policy_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}
traffic_policy::~traffic_policy() = default;

void traffic_policy::UseSnapshot(control_snapshot_ptr snapshot,
                                 time_point /*now*/) {
  impl_->UseSnapshot(std::move(snapshot));
}
admission traffic_policy::Admit(const admission_request& /*request*/,
                                time_point /*now*/) {
  return impl_->Admit();
}
void traffic_policy::Release(const request_end& /*end*/, time_point /*now*/) {}
stage_decision traffic_policy::Plan(const stage_request& request,
                                    time_point now) {
  return impl_->Plan(request, now);
}
std::vector<stage_decision> traffic_policy::TakeReady(time_point /*now*/) {
  return {};
}
void traffic_policy::Withdraw(stage_ticket /*ticket*/) {}
void traffic_policy::Ended(const attempt_report& report, time_point /*now*/) {
  impl_->Ended(report);
}
retry_decision traffic_policy::PlanRetry(const stage_request& request,
                                         time_point now) {
  return impl::PlanRetry(request, now);
}
std::map<std::string, std::uint32_t> traffic_policy::InFlight() const {
  return impl_->InFlight();
}

}  // namespace slatestall
