#include "slatestall/policy/endpoint_state.h"

#include <algorithm>
#include <utility>

#include "slatestall/model/ids.h"
#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr double kReportMemory = 2;  // Seconds until a report counts half.
constexpr double kSlownessWeight = 0.2;
constexpr double kMostSlowness = 50;
constexpr double kMostLearned = 10;  // One freak call must not eject.
constexpr double kSlownessOnReturn = 2;
// An endpoint that said it leaves is believed over a list that lags; a report
// this much newer, from a process that does not leave, is a new process.
constexpr auto kLeavingMemory = std::chrono::seconds(10);

}  // namespace

endpoint_state::endpoint_state(const endpoint_view& view, std::uint32_t slots,
                               time_point now)
    : address_(view.where.address), rank_(StableHash(address_)) {
  Update(view, slots, now);
}

void endpoint_state::Update(const endpoint_view& view, std::uint32_t slots,
                            time_point now) {
  const bool returns = view_ == nullptr;
  view_ = &view;
  if (returns) {
    failure_domain_ = view.where.failure_domain;
  }
  const load_report& load = view.load;
  slots_ = std::max(1U, load.slots > 0 ? load.slots : slots);
  if (load.received == received_) {
    return;
  }
  received_ = load.received;
  const double reported = load.running + load.waiting;
  others_load_ = std::max(0.0, reported - static_cast<double>(calls_.size()));
  if (!load.leaving && said_leaving_ != time_point{} &&
      now - said_leaving_ > kLeavingMemory) {
    said_leaving_ = {};
  }
}

void endpoint_state::Start(call_in_flight call) {
  calls_.push_back(std::move(call));
}

// Reports without a ticket are matched by stage; the oldest is taken, which
// keeps the counts right whichever of equal calls has ended.
call_in_flight endpoint_state::Stop(const attempt_report& report) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(), [&](const auto& call) {
        return report.ticket != 0 ? call.ticket == report.ticket
                                  : call.pipeline == report.pipeline &&
                                        call.stage == report.stage;
      });
  if (found == calls_.end()) {
    return {};
  }
  call_in_flight call = std::move(*found);
  calls_.erase(found);
  return call;
}

double endpoint_state::Load(time_point now) const {
  const double age = std::max(0.0, Seconds(now - received_));
  const double others =
      Reports() ? others_load_ * kReportMemory / (kReportMemory + age) : 0;
  return others + static_cast<double>(calls_.size());
}

double endpoint_state::Slowness(time_point now) const {
  double slowness = slowness_;
  for (const call_in_flight& call : calls_) {
    const double age = Seconds(now - call.sent);
    if (call.overdue > 0 && age > call.overdue) {
      slowness = std::max(slowness, age / call.expected);
    }
  }
  return std::min(slowness, kMostSlowness);
}

void endpoint_state::Learn(double measured, double expected) {
  if (expected <= 0) {
    return;
  }
  const double ratio = std::min(measured / expected, kMostLearned);
  slowness_ += (ratio - slowness_) * kSlownessWeight;
}

void endpoint_state::EjectAsOutlier(time_point now) {
  slowness_ = kSlownessOnReturn;
  health_.EjectAsOutlier(now);
}

bool endpoint_state::Leaving() const {
  return view_ == nullptr || view_->leaving || view_->load.leaving ||
         said_leaving_ != time_point{};
}

}  // namespace slatestall
