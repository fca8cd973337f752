#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/policy/control_snapshot.h"
#include "slatestall/policy/endpoint_health.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief One attempt that this thread has sent and not seen end.
struct call_in_flight {
  stage_ticket ticket = 0;
  std::string pipeline;
  std::string model;
  std::size_t stage = 0;
  priority_class priority = priority_class::kInteractive;
  time_point sent{};
  double expected = 0;  ///< Seconds at normal speed; 0: not known.
  double overdue = 0;   ///< Seconds that 99 in 100 stay under; 0: not known.
  double cached = 0;    ///< Share of the prompt believed cached there.
  bool started_at_once = true;  ///< The endpoint was believed to have room.
};

/// @brief What this thread knows of one endpoint of one service.
class endpoint_state {
 public:
  endpoint_state(const endpoint_view& view, std::uint32_t slots,
                 time_point now);

  /// @brief Takes a new view, which must outlive its use here.
  void Update(const endpoint_view& view, std::uint32_t slots, time_point now);
  /// @brief The endpoint is no longer listed; calls in flight go on.
  void Unlist() { view_ = nullptr; }

  const std::string& Address() const { return address_; }
  /// @brief Hash of the address, equal on every host.
  std::uint64_t Rank() const { return rank_; }
  const std::string& FailureDomain() const { return failure_domain_; }
  bool Listed() const { return view_ != nullptr; }
  /// @brief Valid only while listed.
  const endpoint_view& View() const { return *view_; }
  double Slots() const { return slots_; }
  bool Reports() const { return received_ != time_point{}; }

  void Start(call_in_flight call);
  /// @brief Takes the matching call out, or returns an empty one with no
  /// `sent` time where there is none.
  call_in_flight Stop(const attempt_report& report);
  std::size_t InFlight() const { return calls_.size(); }

  /// @brief Calls believed at the endpoint: its last report, corrected by what
  /// this thread has sent since and fading with age.
  double Load(time_point now) const;
  /// @brief How many times slower than its peers it answers; 1 is normal.
  /// Calls that are overdue count before they have ended.
  double Slowness(time_point now) const;
  /// @brief Slowness by ended calls alone.
  double LearnedSlowness() const { return slowness_; }
  void Learn(double measured, double expected);
  /// @brief Takes the endpoint out for its slowness; it is measured anew when
  /// it returns.
  void EjectAsOutlier(time_point now);

  bool Leaving() const;
  void SaidLeaving(time_point now) { said_leaving_ = now; }

  endpoint_health& Health() { return health_; }
  const endpoint_health& Health() const { return health_; }

 private:
  std::string address_;
  std::uint64_t rank_;
  std::string failure_domain_;
  const endpoint_view* view_ = nullptr;
  double slots_ = 1;
  double others_load_ = 0;  ///< Reported load that is not this thread's.
  time_point received_{};
  std::vector<call_in_flight> calls_;
  double slowness_ = 1;
  time_point said_leaving_{};
  endpoint_health health_;
};

}  // namespace slatestall
