#include "slatestall/node/recorded_faults.h"

#include <utility>

namespace slatestall {
namespace {

/// Attempts in a row that must fail to count as a fault of the endpoint.
constexpr std::uint32_t kFailuresOfAFault = 3;

}  // namespace

void recorded_faults::SetLeaving(const std::string& address, bool leaving,
                                 duration at) {
  if (leaving) {
    leaving_.emplace(address, at);
    return;
  }
  const auto found = leaving_.find(address);
  if (found != leaving_.end()) {
    over_.push_back(
        {found->second, at, fault_kind::kLeaving, 1, {address}, {}});
    leaving_.erase(found);
  }
}

// Requests are looked at when they end, so attempts of several requests come
// somewhat out of order: the times of a fault are good to a request's length.
void recorded_faults::Look(const request_trace& request, duration at) {
  for (const decision_note& note : request.notes) {
    if (note.what == "answered") {
      EndFailures(note.endpoint);
    } else if (note.what == "failed") {
      failures& row = failing_[note.endpoint];
      if (row.count++ == 0) {
        row.first = at + note.at;
      }
      row.last = at + note.at;
    }
  }
}

void recorded_faults::EndFailures(const std::string& address) {
  const auto found = failing_.find(address);
  if (found == failing_.end()) {
    return;
  }
  if (found->second.count >= kFailuresOfAFault) {
    over_.push_back({found->second.first,
                     found->second.last,
                     fault_kind::kFail,
                     1,
                     {address},
                     {}});
  }
  failing_.erase(found);
}

std::vector<trace_fault> recorded_faults::TakeOver() {
  return std::exchange(over_, {});
}

void recorded_faults::EndAll(duration at) {
  while (!leaving_.empty()) {
    SetLeaving(leaving_.begin()->first, false, at);
  }
  while (!failing_.empty()) {
    EndFailures(failing_.begin()->first);
  }
}

}  // namespace slatestall
