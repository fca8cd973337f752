#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "slatestall/policy/event_queue.h"
#include "slatestall/policy/random_generator.h"
#include "slatestall/policy/trace.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief What a modelled endpoint sends back.
struct modelled_answer {
  attempt_end end = attempt_end::kAnswered;
  bool said_leaving = false;
  duration first_byte{};  ///< From arrival at the endpoint; zero: none.
};

struct modelled_call {
  duration work{};  ///< On an idle endpoint at normal speed.
  std::uint64_t prefix = 0;
  int priority = 0;          ///< Lower runs first.
  duration stall_timeout{};  ///< Pause that the caller bears; zero: any.
  std::function<void(const modelled_answer&)> answer;
};

/// @brief An endpoint reduced to what decisions depend on: slots, a queue by
/// priority, a service time that grows with the batch, a prefix cache, faults
/// and late load reports.
class modelled_endpoint {
 public:
  using call_number = std::uint64_t;

  modelled_endpoint(event_queue& events, trace_endpoint where,
                    trace_endpoint_model model, std::uint64_t seed);

  const trace_endpoint& Where() const { return where_; }

  /// @brief The call arrives now. Its answer may never come.
  call_number Submit(modelled_call call);
  /// @brief The caller closed the connection; frees the slot.
  void Cancel(call_number number);

  /// @brief Whether a connection can be made now.
  bool Reachable() const;
  bool AnswerHasBegun(call_number number) const;
  /// @brief Time the call held a slot so far; kept after its end.
  duration Busy(call_number number) const;
  /// @brief Whether the call ever held a slot.
  bool Ran(call_number number) const;
  /// @brief Time that calls spent on prompts no cache held.
  duration Prefill() const { return prefill_; }

  void Begin(const trace_fault& fault);
  void End(const trace_fault& fault);

  /// @brief Starts taking load reports, each visible after the lag.
  void StartReports();
  /// @brief The newest report that has become visible.
  const load_report& Report() const { return visible_; }
  /// @brief The cached prefixes as last told by events, ascending.
  const std::vector<std::uint64_t>& ReportedPrefixes() const {
    return visible_prefixes_;
  }

 private:
  struct call_state {
    modelled_call call;
    time_point arrived{};
    time_point started{};
    time_point first_byte{};
    time_point ended{};
    bool running = false;
    bool over = false;  ///< Answered, given up or dropped.
  };

  void Reply(const modelled_call& call, const modelled_answer& answer);
  void StartWaiting();
  void Start(call_number number);
  void Finish(call_number number);
  void Close(call_number number);
  void DropAll(bool closed);
  void StallBegun();
  bool UsePrefix(std::uint64_t prefix);
  void TakeReport();

  event_queue& events_;
  trace_endpoint where_;
  trace_endpoint_model model_;
  random_generator random_;
  call_number next_ = 0;
  std::map<call_number, call_state> calls_;
  std::map<int, std::deque<call_number>> waiting_;
  std::uint32_t running_ = 0;
  duration prefill_{};
  std::map<fault_kind, double> faults_;
  std::deque<std::uint64_t> cache_;  ///< Most recently used last.
  std::vector<std::uint64_t> told_;
  load_report visible_;
  std::vector<std::uint64_t> visible_prefixes_;
};

}  // namespace slatestall
