#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "slatestall/policy/token_bucket.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief A stage call that waits for capacity.
struct queued_call {
  stage_request request;
  time_point queued{};
  time_point latest_start{};  ///< Later it can no longer make its deadline.
  double weight = 1;          ///< Of its workspace.
  double cost = 0;            ///< Seconds it will hold a slot.
};

/// @brief Calls of one service that wait at this host. Within a class,
/// workspaces take turns by weight and cost; within a workspace the earliest
/// deadline goes first.
class stage_queue {
 public:
  void Push(queued_call call);
  /// @brief Whether the ticket was waiting.
  bool Remove(stage_ticket ticket);

  std::size_t Size(priority_class priority) const;
  bool Empty() const { return calls_.empty(); }
  /// @brief Seconds of slot time that the waiting calls of the class need.
  double Work(priority_class priority) const;
  /// @brief The same of those with an earlier deadline, to a tenth of a second.
  double WorkBefore(priority_class priority, time_point deadline) const;

  /// @brief Takes out the next call of the class; nothing where none waits.
  std::optional<queued_call> Pop(priority_class priority);
  /// @brief Takes out all calls whose latest start has passed.
  std::vector<queued_call> PopOverdue(time_point now);

 private:
  using place = std::pair<time_point, std::uint64_t>;  // Deadline, sequence.

  struct workspace_line {
    std::map<place, stage_ticket> calls;
    double turn = 0;  ///< Virtual time at which the workspace is next.
  };
  struct class_lines {
    std::map<std::string, workspace_line> lines;
    double turn = 0;  ///< Virtual time of the last call taken.
    std::size_t size = 0;
    double work = 0;
    std::map<std::int64_t, double> work_by_deadline;  ///< Tenths of a second.
  };
  struct entry {
    queued_call call;
    place where;
  };

  static workspace_line& NextLine(class_lines& lines);
  static void DropSettled(class_lines& lines);
  queued_call Take(stage_ticket ticket);

  std::uint64_t sequence_ = 0;
  std::unordered_map<stage_ticket, entry> calls_;
  std::set<std::pair<time_point, stage_ticket>> by_latest_start_;
  std::array<class_lines, kPriorityClasses> classes_;
};

}  // namespace slatestall
