#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "slatestall/policy/trace.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief Requests of one class or workspace and how they ended.
/// @ingroup policy
struct replay_group {
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;  ///< Answered in full within the deadline.
  std::uint64_t late = 0;     ///< Not whole at the deadline.
  std::uint64_t refused = 0;  ///< Not run.
  std::uint64_t failed = 0;   ///< A stage failed, or its outcome is unknown.
  double p50 = 0;             ///< Seconds, of those in time.
  double p99 = 0;

  /// @brief Share of the requests answered in full within the deadline.
  double Attainment() const;
};

/// @brief Endpoint time that one stage took, in seconds.
struct replay_cost {
  std::uint64_t calls = 0;
  double used = 0;
  double late = 0;       ///< For requests that missed their deadline.
  double retried = 0;    ///< Attempts that failed or timed out.
  double hedged = 0;     ///< Losers of hedges.
  double cancelled = 0;  ///< For requests that failed otherwise.

  double Waste() const { return late + retried + hedged + cancelled; }
};

/// @brief Requests that arrived within one second of the trace.
struct replay_second {
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;
};

struct replay_result {
  std::map<std::string, replay_group> classes;
  std::map<std::string, replay_group> pipelines;
  std::map<std::string, replay_group> workspaces;
  std::map<std::string, replay_cost> stages;  ///< "pipeline/stage".
  /// Requests not answered in time, by the reason of the last decision.
  std::map<std::string, std::uint64_t> reasons;
  std::uint64_t lost = 0;     ///< Requests that never ended.
  std::uint64_t doubled = 0;  ///< Calls run twice that must not be.
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  double prefill = 0;  ///< Endpoint seconds spent on prompts.
  std::vector<replay_second> seconds;
  std::string decisions;  ///< Digest over every decision, in order.

  /// @brief All measures by the names that stated outcomes use.
  std::map<std::string, double> Measures() const;
};

/// @brief Drives the policy with the calls of a trace and its clock against
/// modelled endpoints. Equal inputs give equal results.
/// @param options `host_name`, `failure_domain` and `lanes` come from the
/// trace, the seed is mixed with that of the trace.
replay_result Replay(const trace& trace, const traffic_policy_options& options);

/// @brief What differs first from the stated outcomes, or empty.
std::string FirstDifference(const trace& trace, const replay_result& result);

void PrintReplay(const std::string& name, const replay_result& result,
                 std::ostream& out);

/// @brief Replays each file under the default options and prints attainment
/// and cost.
/// @return 0; 1 where an outcome differs, whose first difference is printed;
/// 2 where a file cannot be read.
int RunReplay(const std::vector<std::string>& paths, std::ostream& out);

/// @brief The policy that others are measured against: round robin, retry on
/// every failure, and nothing held back or refused early.
traffic_policy_options NaivePolicy();

/// @brief A plain balancer: the endpoint with the fewest calls of this thread
/// in flight, retries within the budget, and nothing else.
traffic_policy_options LeastInFlightPolicy();

}  // namespace slatestall
