#include "slatestall/policy/modelled_endpoint.h"

#include <algorithm>
#include <utility>

#include "slatestall/policy/seconds.h"

namespace slatestall {
namespace {

constexpr auto kRefusalTime = milliseconds(1);
constexpr auto kPauseCheck = milliseconds(50);

}  // namespace

modelled_endpoint::modelled_endpoint(event_queue& events, trace_endpoint where,
                                     trace_endpoint_model model,
                                     std::uint64_t seed)
    : events_(events),
      where_(std::move(where)),
      model_(std::move(model)),
      random_(seed) {
  visible_.slots = model_.slots;
  visible_.models = where_.models;
}

modelled_endpoint::call_number modelled_endpoint::Submit(modelled_call call) {
  const call_number number = ++next_;
  call_state& state = calls_[number];
  state.call = std::move(call);
  state.arrived = events_.Now();
  if (faults_.count(fault_kind::kLeaving) > 0) {
    Reply(state.call, {attempt_end::kRefusedByEndpoint, true, {}});
  } else if (faults_.count(fault_kind::kBusy) > 0) {
    Reply(state.call, {attempt_end::kRefusedByEndpoint, false, {}});
  } else if (faults_.count(fault_kind::kFail) > 0) {
    Reply(state.call, {attempt_end::kFailed, false, {}});
  } else {
    waiting_[state.call.priority].push_back(number);
    StartWaiting();
  }
  return number;
}

void modelled_endpoint::Reply(const modelled_call& call,
                              const modelled_answer& answer) {
  events_.After(kRefusalTime, [reply = call.answer, answer] { reply(answer); });
}

void modelled_endpoint::StartWaiting() {
  if (faults_.count(fault_kind::kPaused) > 0) {
    return;
  }
  for (auto& [priority, line] : waiting_) {
    while (!line.empty() && running_ < model_.slots) {
      const call_number number = line.front();
      line.pop_front();
      Start(number);
    }
  }
}

void modelled_endpoint::Start(call_number number) {
  call_state& state = calls_.at(number);
  state.started = events_.Now();
  state.running = true;
  ++running_;
  const double batch = static_cast<double>(running_) / model_.slots;
  double prefill = Seconds(state.call.work) * model_.prefill_share;
  double rest = Seconds(state.call.work) - prefill;
  if (UsePrefix(state.call.prefix)) {
    prefill = 0;
  }
  double factor = 1 + model_.batch_slowdown * batch;
  const auto slow = faults_.find(fault_kind::kSlow);
  factor *= slow == faults_.end() ? 1 : slow->second;
  prefill_ += FromSeconds(prefill * factor);
  state.first_byte = events_.Now() + FromSeconds(prefill * factor);
  events_.After(FromSeconds((prefill + rest) * factor),
                [this, number] { Finish(number); });
}

void modelled_endpoint::Finish(call_number number) {
  const auto found = calls_.find(number);
  if (found == calls_.end() || !found->second.running) {
    return;
  }
  if (faults_.count(fault_kind::kPaused) > 0) {
    // It answers when the pause has ended.
    events_.After(kPauseCheck, [this, number] { Finish(number); });
    return;
  }
  const call_state& state = found->second;
  const bool engine = model_.prefill_share > 0;
  const duration first =
      engine ? std::max<duration>(state.first_byte - state.arrived,
                                  microseconds(1))
             : duration::zero();
  const auto answer = state.call.answer;
  Close(number);
  found->second.over = true;
  answer({attempt_end::kAnswered, false, first});
  StartWaiting();
}

void modelled_endpoint::Close(call_number number) {
  call_state& state = calls_.at(number);
  if (state.running) {
    state.running = false;
    state.ended = events_.Now();
    --running_;
  }
}

void modelled_endpoint::Cancel(call_number number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return;
  }
  std::deque<call_number>& line = waiting_[found->second.call.priority];
  line.erase(std::remove(line.begin(), line.end(), number), line.end());
  found->second.over = true;
  Close(number);
  StartWaiting();
}

bool modelled_endpoint::Reachable() const {
  return faults_.count(fault_kind::kSilent) == 0 &&
         faults_.count(fault_kind::kRestart) == 0;
}

bool modelled_endpoint::AnswerHasBegun(call_number number) const {
  const auto found = calls_.find(number);
  return found != calls_.end() && found->second.running &&
         model_.prefill_share > 0 && events_.Now() >= found->second.first_byte;
}

duration modelled_endpoint::Busy(call_number number) const {
  const call_state& state = calls_.at(number);
  if (state.started == time_point{}) {
    return duration::zero();
  }
  return (state.running ? events_.Now() : state.ended) - state.started;
}

bool modelled_endpoint::Ran(call_number number) const {
  return calls_.at(number).started != time_point{};
}

void modelled_endpoint::Begin(const trace_fault& fault) {
  faults_[fault.kind] = fault.factor;
  if (fault.kind == fault_kind::kSilent || fault.kind == fault_kind::kPaused) {
    StallBegun();
  }
  if (!Reachable()) {
    DropAll(fault.kind == fault_kind::kRestart);
  }
}

// Streams that have begun stop; the caller notices by the pause.
void modelled_endpoint::StallBegun() {
  for (const auto& [number, state] : calls_) {
    if (!AnswerHasBegun(number) || state.call.stall_timeout == duration{}) {
      continue;
    }
    events_.After(state.call.stall_timeout, [this, number = number] {
      const call_state& stalled = calls_.at(number);
      const bool resumed =
          faults_.count(fault_kind::kPaused) == 0 && stalled.running;
      if (!resumed) {
        stalled.call.answer({attempt_end::kTimedOut, false, duration(1)});
      }
    });
  }
}

void modelled_endpoint::End(const trace_fault& fault) {
  faults_.erase(fault.kind);
  if (fault.kind == fault_kind::kRestart) {
    cache_.clear();
    told_.clear();
  }
  StartWaiting();
}

// A process that ends closes its connections, which callers see at once; one
// whose network is gone leaves them open.
void modelled_endpoint::DropAll(bool closed) {
  waiting_.clear();
  for (auto& [number, state] : calls_) {
    if (state.over) {
      continue;
    }
    Close(number);
    state.over = true;
    if (closed) {
      Reply(state.call, {attempt_end::kFailed, false, {}});
    }
  }
}

bool modelled_endpoint::UsePrefix(std::uint64_t prefix) {
  if (prefix == 0 || model_.cache_prefixes == 0) {
    return false;
  }
  const auto found = std::find(cache_.begin(), cache_.end(), prefix);
  const bool hit = found != cache_.end();
  if (hit) {
    cache_.erase(found);
  }
  cache_.push_back(prefix);
  if (cache_.size() > model_.cache_prefixes) {
    cache_.pop_front();
  }
  if (!hit && random_.Unit() >= model_.event_loss) {
    told_.push_back(prefix);
    if (told_.size() > model_.cache_prefixes) {
      told_.erase(told_.begin());
    }
  }
  return hit;
}

void modelled_endpoint::StartReports() {
  // Spread, or all endpoints would report in the same moment.
  const double phase = random_.Unit() * Seconds(model_.report_interval);
  events_.After(FromSeconds(phase), [this] { TakeReport(); });
}

void modelled_endpoint::TakeReport() {
  events_.After(model_.report_interval, [this] { TakeReport(); });
  if (!Reachable() || faults_.count(fault_kind::kPaused) > 0) {
    return;
  }
  load_report report = visible_;
  report.running = running_;
  report.waiting = 0;
  for (const auto& [priority, line] : waiting_) {
    report.waiting += static_cast<std::uint32_t>(line.size());
  }
  report.leaving = faults_.count(fault_kind::kLeaving) > 0;
  std::vector<std::uint64_t> prefixes = told_;
  std::sort(prefixes.begin(), prefixes.end());
  events_.After(model_.report_lag, [this, report, prefixes] {
    visible_ = report;
    visible_.received = events_.Now();
    visible_prefixes_ = prefixes;
  });
}

}  // namespace slatestall
