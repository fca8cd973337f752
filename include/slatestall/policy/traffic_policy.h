#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/time.h"
#include "slatestall/policy/control_snapshot.h"

namespace slatestall {

/// @brief How an endpoint is chosen.
/// @ingroup policy
enum class routing_rule {
  kRoundRobin,
  kLeastInFlight,  ///< Fewest calls of this thread in flight.
  kLeastWait,
};

inline constexpr name_table<routing_rule, 3> kRoutingRuleNames{{
    {routing_rule::kRoundRobin, "round-robin"},
    {routing_rule::kLeastInFlight, "least-in-flight"},
    {routing_rule::kLeastWait, "least-wait"},
}};

struct traffic_policy_options {
  routing_rule routing = routing_rule::kLeastWait;
  std::string host_name{};       ///< Ranks endpoints where a host uses some.
  std::string failure_domain{};  ///< Of this host.
  std::uint64_t seed = 1;        ///< All random choices follow from it.
  bool hedging = true;
  bool early_refusal = true;
  bool learned_timeouts = true;  ///< Else an attempt may take all time left.
  bool queueing = true;          ///< Hold calls back when endpoints are full.
  bool ejection = true;          ///< Take failing and slow endpoints out.
  bool domain_circuit = true;    ///< Close a failure domain that is lost.
  bool domain_locality = true;   ///< Prefer endpoints of the own domain.
  bool cache_affinity = true;    ///< Send a prompt where its prefix is cached.
  bool class_reserves = true;    ///< Batch calls leave slots for interactive.
  bool lending = true;           ///< Borrow slots that reports show idle.
  bool slow_start = true;        ///< Raise work of returned endpoints slowly.
  double retry_budget = 0.1;     ///< Retries per first attempt.
  double hedge_budget = 0.05;    ///< Hedges per first attempt.
  double batch_floor = 0.2;  ///< Share of time that batch calls are assured.
  std::uint32_t lanes = 1;   ///< Traffic threads that divide this host's share.
};

struct admission_request {
  std::string workspace;
  const pipeline_config* pipeline = nullptr;
  time_point deadline{};
};

/// @brief A refusal is always truly "not run": nothing has been sent.
struct admission {
  bool admitted = false;
  error_kind refusal = error_kind::kOverloaded;
  milliseconds retry_after{0};
  std::string reason;  ///< For `explain` and the problem's detail.
};

/// @brief How an admitted request ended.
struct request_end {
  std::string workspace;
  const pipeline_config* pipeline = nullptr;
  bool answered_in_full = false;
  std::uint64_t generated_tokens = 0;
};

/// @brief Names one stage call of one request inside one traffic thread; not
/// 0. Retries and hedges of the call may share it.
using stage_ticket = std::uint64_t;

struct stage_request {
  stage_ticket ticket = 0;
  std::string workspace;
  const pipeline_config* pipeline = nullptr;
  std::size_t stage = 0;  ///< Index into `pipeline->stages`.
  priority_class priority = priority_class::kInteractive;
  time_point deadline{};
  std::vector<std::uint64_t> prefix_hashes;  ///< Shortest prefix first.
  std::vector<std::string> tried;  ///< Addresses not to use again; a hedge
                                   ///< names the one it hedges against.
  std::size_t unreached = 0;       ///< How many of `tried` took no connection.
  bool is_free_retry = false;      ///< The last of `tried` took no connection.
  bool is_retry = false;
  bool is_hedge = false;  ///< Never waits: `kDispatch` or `kRefuse`.
};

enum class stage_verdict { kDispatch, kWait, kRefuse };

/// @brief What to do with one stage call now.
struct stage_decision {
  stage_ticket ticket = 0;
  stage_verdict verdict = stage_verdict::kRefuse;
  std::string address;              ///< `kDispatch`.
  milliseconds attempt_timeout{0};  ///< `kDispatch`.
  /// `kDispatch`, repeatable only: plan a hedge where no first byte (engines)
  /// or no answer has come by then.
  std::optional<milliseconds> hedge_after;
  /// `kDispatch`, engines only: the longest pause inside a stream. A longer
  /// one is a failed attempt, for an engine that is gone says nothing more.
  std::optional<milliseconds> stall_timeout;
  /// `kDispatch`, engines only: give the attempt up where no first byte has
  /// come by then, for the rest would not be done by the deadline.
  std::optional<milliseconds> first_byte_timeout;
  int engine_priority = 0;                       ///< Lower runs first.
  error_kind refusal = error_kind::kNoEndpoint;  ///< `kRefuse`.
  milliseconds retry_after{0};                   ///< `kRefuse`.
  std::string reason;
};

enum class attempt_end {
  kAnswered,
  kRefusedByEndpoint,  ///< Proven not run by its answer: 429 or 503.
  kFailed,
  kTimedOut,
  kCancelled,
  kUnreached,  ///< Proven not run: no connection was made.
};

/// @brief How one dispatched attempt ended.
struct attempt_report {
  stage_ticket ticket = 0;  ///< 0: the oldest call of the stage is meant.
  std::string service;
  std::string address;
  std::string pipeline;
  std::size_t stage = 0;
  attempt_end end = attempt_end::kAnswered;
  bool said_leaving = false;  ///< The endpoint itself said that it leaves.
  bool at_most_once = false;  ///< The call could not be sent again.
  duration first_byte{};      ///< Zero where none came, whatever the end.
  duration total{};
  std::uint64_t generated_tokens = 0;
};

struct retry_decision {
  bool retry = false;
  milliseconds after{0};
  std::string reason;
  bool too_late = false;  ///< Refused for want of time.
};

/// @brief Every decision about traffic on one thread: admission, queueing,
/// choice of endpoint, retries and hedges. Holds no clock, thread or socket:
/// the same calls give the same decisions, which is what replay relies on.
class traffic_policy {
 public:
  explicit traffic_policy(traffic_policy_options options);
  ~traffic_policy();
  traffic_policy(const traffic_policy&) = delete;
  traffic_policy& operator=(const traffic_policy&) = delete;

  /// @brief Takes the control state all later decisions rest on.
  void UseSnapshot(const control_snapshot_ptr& snapshot, time_point now);

  admission Admit(const admission_request& request, time_point now);
  /// @brief Ends what `Admit` began; call exactly once per admitted request.
  void Release(const request_end& end, time_point now);

  /// @brief Decides on one stage call. `kWait` keeps the ticket queued until
  /// `TakeReady` returns it or `Withdraw` removes it. `kDispatch` counts the
  /// call as in flight until `Ended`.
  stage_decision Plan(const stage_request& request, time_point now);
  /// @brief Decisions for queued tickets that are due: call after `Ended`,
  /// `UseSnapshot` and on a timer.
  std::vector<stage_decision> TakeReady(time_point now);
  void Withdraw(stage_ticket ticket);

  /// @brief Ends a dispatched attempt.
  void Ended(const attempt_report& report, time_point now);
  /// @brief Whether a failed attempt may be sent again. The caller asks only
  /// where the call allows it; the budget and the deadline decide here.
  retry_decision PlanRetry(const stage_request& request, time_point now);

  /// @brief Calls in flight by address, for the control thread.
  std::map<std::string, std::uint32_t> InFlight() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace slatestall
