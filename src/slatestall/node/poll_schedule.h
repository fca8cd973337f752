#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Why an endpoint is polled.
struct poll_reason {
  std::string service = {};  ///< Whose traffic needs it; empty: none.
  bool watched = false;  ///< On behalf of all hosts, for the word it leaves.
  bool ordered = false;  ///< This host gives it orders by its reports.
};

/// @brief Time between two polls of an endpoint that only this host's traffic
/// needs.
struct poll_pace {
  milliseconds busy{250};  ///< While this host calls endpoints of the service.
  milliseconds quiet{10'000};
};

/// @brief When to poll which endpoint. An answer that told the endpoint's load
/// stands for a poll. Pure: no I/O, no clock.
class poll_schedule {
 public:
  /// @brief Replaces the targets; known ones keep their turn.
  void SetTargets(const std::map<std::string, poll_reason>& targets,
                  poll_pace pace, time_point now);
  /// @brief An answer told the endpoint's load.
  void NoteTold(const std::string& address, time_point now);
  /// @brief Endpoints whose turn it is; counts them as polled now.
  std::vector<std::string> TakeDue(time_point now);
  /// @brief Nothing where there is no target.
  std::optional<time_point> NextDue(time_point now) const;

 private:
  struct target {
    poll_reason reason;
    time_point first{};  ///< Of the first poll.
    time_point polled{};
    time_point told{};
  };

  milliseconds IntervalOf(const target& target, time_point now) const;
  time_point DueOf(const target& target, time_point now) const;

  std::map<std::string, target> targets_;
  poll_pace pace_;
  std::map<std::string, time_point> last_told_;  ///< By service.
};

}  // namespace slatestall
