#include "slatestall/policy/replay_tally.h"

#include <algorithm>

#include "slatestall/model/ids.h"
#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

double At(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * share)];
}

}  // namespace

void replay_tally::Ended(const trace_arrival& arrival, priority_class priority,
                         replay_outcome outcome, duration latency) {
  --open_;
  CountSecond(arrival.at, outcome);
  const std::string name(NameIn(kPriorityClassNames, priority));
  Count(pipelines_[arrival.pipeline], outcome, latency);
  Count(classes_[name], outcome, latency);
  Count(workspaces_[arrival.workspace], outcome, latency);
}

void replay_tally::CountSecond(duration arrived, replay_outcome outcome) {
  const auto second = static_cast<std::size_t>(Seconds(arrived));
  if (result_.seconds.size() <= second) {
    result_.seconds.resize(second + 1);
  }
  ++result_.seconds[second].requests;
  result_.seconds[second].in_time += outcome == replay_outcome::kInTime;
}

void replay_tally::Count(group& group, replay_outcome outcome,
                         duration latency) {
  replay_group& counts = group.counts;
  ++counts.requests;
  switch (outcome) {
    case replay_outcome::kInTime:
      ++counts.in_time;
      group.latencies.push_back(Seconds(latency));
      return;
    case replay_outcome::kLate:
      ++counts.late;
      return;
    case replay_outcome::kRefused:
      ++counts.refused;
      return;
    case replay_outcome::kFailed:
      ++counts.failed;
      return;
  }
}

void replay_tally::Used(const std::string& stage, duration busy) {
  result_.stages[stage].used += Seconds(busy);
}

void replay_tally::Wasted(const std::string& stage, attempt_waste waste,
                          duration busy) {
  replay_cost& cost = result_.stages[stage];
  switch (waste) {
    case attempt_waste::kLate:
      cost.late += Seconds(busy);
      return;
    case attempt_waste::kRetried:
      cost.retried += Seconds(busy);
      return;
    case attempt_waste::kHedged:
      cost.hedged += Seconds(busy);
      return;
    case attempt_waste::kCancelled:
      cost.cancelled += Seconds(busy);
      return;
  }
}

void replay_tally::Decided(const std::string& text) {
  digest_ = StableHash(text, digest_);
}

replay_group replay_tally::Summary(group group) {
  std::sort(group.latencies.begin(), group.latencies.end());
  group.counts.p50 = At(group.latencies, 0.50);
  group.counts.p99 = At(group.latencies, 0.99);
  return group.counts;
}

replay_result replay_tally::Result() const {
  replay_result result = result_;
  for (const auto& [name, group] : classes_) {
    result.classes[name] = Summary(group);
  }
  for (const auto& [name, group] : workspaces_) {
    result.workspaces[name] = Summary(group);
  }
  for (const auto& [name, group] : pipelines_) {
    result.pipelines[name] = Summary(group);
  }
  result.lost = open_;
  result.decisions = StableHashText("", digest_);
  return result;
}

}  // namespace slatestall
