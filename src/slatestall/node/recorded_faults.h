#pragma once

#include <map>
#include <string>
#include <vector>

#include "slatestall/policy/trace.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

/// @brief Faults of endpoints as this host saw them, with their times: those
/// that leave, and those that fail several attempts in a row.
class recorded_faults {
 public:
  /// @brief An endpoint leaves, or takes work again.
  void SetLeaving(const std::string& address, bool leaving, duration at);
  /// @brief Looks at the attempts of a request that arrived at `at`.
  void Look(const request_trace& request, duration at);
  /// @brief Faults that are over since the last call.
  std::vector<trace_fault> TakeOver();
  /// @brief Ends all that still last.
  void EndAll(duration at);

 private:
  struct failures {
    duration first{};
    duration last{};
    std::uint32_t count = 0;
  };

  void EndFailures(const std::string& address);

  std::map<std::string, duration> leaving_;
  std::map<std::string, failures> failing_;
  std::vector<trace_fault> over_;
};

}  // namespace slatestall
