#include "slatestall/node/demand_meter.h"

namespace slatestall {

void demand_meter::Note(const request_trace& trace) {
  std::uint64_t tokens = 0;
  for (const auto& usage : trace.usages) {
    tokens += usage.generated_tokens;
  }
  const std::lock_guard lock(mutex_);
  if (trace.error == error_kind::kLimitExceeded) {
    estimate_.Refused(trace.workspace);
    return;
  }
  estimate_.Ended(trace.workspace,
                  std::chrono::duration<double>(trace.total).count(), tokens);
}

std::map<std::string, workspace_demand> demand_meter::Take(time_point now) {
  const std::lock_guard lock(mutex_);
  return estimate_.Take(now);
}

}  // namespace slatestall
