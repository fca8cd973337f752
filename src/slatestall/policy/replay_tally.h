#pragma once

#include <map>
#include <string>
#include <vector>

#include "slatestall/policy/latency_histogram.h"
#include "slatestall/policy/replay.h"

namespace slatestall {

enum class attempt_waste { kLate, kRetried, kHedged, kCancelled };

/// @brief Collects what a replay reports.
class replay_tally {
 public:
  void Arrived() { ++open_; }
  void Ended(const trace_arrival& arrival, priority_class priority,
             replay_outcome outcome, duration latency);
  void Because(const std::string& reason) { ++result_.reasons[reason]; }

  /// @param stage "pipeline/stage".
  void Call(const std::string& stage) { ++result_.stages[stage].calls; }
  void Used(const std::string& stage, duration busy);
  void Wasted(const std::string& stage, attempt_waste waste, duration busy);
  void Doubled() { ++result_.doubled; }
  void Retried() { ++result_.retries; }
  void Hedged() { ++result_.hedges; }
  /// @brief Adds one decision to the digest.
  void Decided(const std::string& text);

  replay_result Result() const;

 private:
  struct group {
    replay_group counts;
    std::vector<double> latencies;  ///< Seconds, of those in time.
  };

  void CountSecond(duration arrived, replay_outcome outcome);
  static void Count(group& group, replay_outcome outcome, duration latency);
  static replay_group Summary(group group);

  std::uint64_t open_ = 0;
  std::uint64_t digest_ = 0;
  std::map<std::string, group> classes_;
  std::map<std::string, group> workspaces_;
  std::map<std::string, group> pipelines_;
  replay_result result_;
};

}  // namespace slatestall
