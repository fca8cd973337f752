#pragma once

#include <bitset>

#include "slatestall/model/name_table.h"

namespace slatestall {

/// @brief A part of the decisions under load that can be switched off, so that
/// its worth can be measured on any installation.
/// @ingroup dispatch
enum class mechanism {
  kBookings,        ///< Room in all stages is asked for first.
  kLearntCapacity,  ///< Bookings count on what bookings were seen to get.
  kLateAdmission,   ///< Requests that will be late are taken, too.
  kLateGiveUp,      ///< Late pieces passed over for long are given up.
  kRankMargins,     ///< The more urgent go first in stages.
  kNearResults,     ///< Pieces are made near their bytes.
  kPromptHomes,     ///< A shared prompt goes to the endpoints that keep it.
  kSecondHome,      ///< A prompt has two homes.
  kColdLimit,       ///< Cold endpoints get what they bear, and only if needed.
  kEndpointQuota,   ///< Endpoints in need get no more than they take.
  kAvoidance,       ///< Endpoints that failed are left alone for a while.
  kSlowEndpoints,   ///< Slow stage endpoints are used only when needed.
  kOverdueCalls,    ///< Pieces of an overdue call are made again elsewhere.
  kStallTimers,     ///< Stalled calls that may be repeated are repeated.
  kResultRestart,   ///< Stages whose results are gone are run anew.
  kSpreadReturns,   ///< Refused callers come back spread over time.
  kUsualPatience,   ///< Returns are told by what patience is left.
  kLearntFirstEvent,  ///< The time to a first event is learnt.
  kWeakHostsLast,     ///< Weak hosts are homes only where no other is left.
  kSharedReading,     ///< Two hosts read the store for the others.
  kTopicExchange,     ///< Hosts ask each other while the store is away.
  kRelayedCalls,      ///< A host that is cut off calls through others.
  kBrittleLimit,      ///< Brittle endpoints turn few calls away.
  kDueTimeAdmission,  ///< Stages admit by due time, not by order of arrival.
  kWorkspaceShares,   ///< Workspaces share a stage that is short of room.
  kReturnPlaces,      ///< Refused callers find room when they return.
  kEndpointPace,      ///< The reported pace of an endpoint's machine counts.
  kPieceCosts,        ///< What a piece costs is learnt by kind of work.
  kUnreadLimit,       ///< Answers that callers do not read are bounded.
};

inline constexpr std::size_t kMechanisms = 29;

inline constexpr name_table<mechanism, kMechanisms> kMechanismNames{{
    {mechanism::kBookings, "bookings"},
    {mechanism::kLearntCapacity, "learnt_capacity"},
    {mechanism::kLateAdmission, "late_admission"},
    {mechanism::kLateGiveUp, "late_give_up"},
    {mechanism::kRankMargins, "rank_margins"},
    {mechanism::kNearResults, "near_results"},
    {mechanism::kPromptHomes, "prompt_homes"},
    {mechanism::kSecondHome, "second_home"},
    {mechanism::kColdLimit, "cold_limit"},
    {mechanism::kEndpointQuota, "endpoint_quota"},
    {mechanism::kAvoidance, "avoidance"},
    {mechanism::kSlowEndpoints, "slow_endpoints"},
    {mechanism::kOverdueCalls, "overdue_calls"},
    {mechanism::kStallTimers, "stall_timers"},
    {mechanism::kResultRestart, "result_restart"},
    {mechanism::kSpreadReturns, "spread_returns"},
    {mechanism::kUsualPatience, "usual_patience"},
    {mechanism::kLearntFirstEvent, "learnt_first_event"},
    {mechanism::kWeakHostsLast, "weak_hosts_last"},
    {mechanism::kSharedReading, "shared_reading"},
    {mechanism::kTopicExchange, "topic_exchange"},
    {mechanism::kRelayedCalls, "relayed_calls"},
    {mechanism::kBrittleLimit, "brittle_limit"},
    {mechanism::kDueTimeAdmission, "due_time_admission"},
    {mechanism::kWorkspaceShares, "workspace_shares"},
    {mechanism::kReturnPlaces, "return_places"},
    {mechanism::kEndpointPace, "endpoint_pace"},
    {mechanism::kPieceCosts, "piece_costs"},
    {mechanism::kUnreadLimit, "unread_limit"},
}};

/// @brief Those that are switched off; none, but for measurements.
class disabled_mechanisms {
 public:
  void Add(mechanism one) { off_.set(static_cast<std::size_t>(one)); }
  bool Has(mechanism one) const {
    return off_.test(static_cast<std::size_t>(one));
  }

  friend bool operator==(const disabled_mechanisms&,
                         const disabled_mechanisms&) = default;

 private:
  std::bitset<kMechanisms> off_;
};

}  // namespace slatestall
