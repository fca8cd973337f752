#include "slatestall/policy/stage_queue.h"

#include <algorithm>

namespace slatestall {
namespace {

constexpr double kLeastCost = 1e-3;
constexpr double kLeastWeight = 1e-3;
constexpr double kNoWork = 1e-9;

std::int64_t TenthOf(time_point when) {
  return std::chrono::duration_cast<milliseconds>(when.time_since_epoch())
             .count() /
         100;
}

}  // namespace

void stage_queue::Push(queued_call call) {
  const stage_ticket ticket = call.request.ticket;
  if (calls_.count(ticket) > 0) {
    return;
  }
  const place where{call.request.deadline, sequence_++};
  class_lines& lines = classes_[IndexOf(call.request.priority)];
  const auto [line, fresh] = lines.lines.try_emplace(call.request.workspace);
  if (fresh) {
    // Idle time earns no credit: a workspace that comes back starts level.
    line->second.turn = lines.turn;
  }
  line->second.calls.emplace(where, ticket);
  ++lines.size;
  lines.work += call.cost;
  lines.work_by_deadline[TenthOf(call.request.deadline)] += call.cost;
  by_latest_start_.emplace(call.latest_start, ticket);
  calls_.emplace(ticket, entry{std::move(call), where});
}

bool stage_queue::Remove(stage_ticket ticket) {
  if (calls_.count(ticket) == 0) {
    return false;
  }
  Take(ticket);
  return true;
}

std::size_t stage_queue::Size(priority_class priority) const {
  return classes_[IndexOf(priority)].size;
}

double stage_queue::Work(priority_class priority) const {
  return std::max(0.0, classes_[IndexOf(priority)].work);
}

double stage_queue::WorkBefore(priority_class priority,
                               time_point deadline) const {
  double work = 0;
  for (const auto& [tenth, cost] :
       classes_[IndexOf(priority)].work_by_deadline) {
    if (tenth >= TenthOf(deadline)) {
      break;
    }
    work += cost;
  }
  return work;
}

std::optional<queued_call> stage_queue::Pop(priority_class priority) {
  class_lines& lines = classes_[IndexOf(priority)];
  if (lines.size == 0) {
    return std::nullopt;
  }
  workspace_line& next = NextLine(lines);
  lines.turn = std::max(lines.turn, next.turn);
  const stage_ticket ticket = next.calls.begin()->second;
  const queued_call& call = calls_.at(ticket).call;
  next.turn = lines.turn + std::max(call.cost, kLeastCost) /
                               std::max(call.weight, kLeastWeight);
  queued_call taken = Take(ticket);
  DropSettled(lines);
  return taken;
}

stage_queue::workspace_line& stage_queue::NextLine(class_lines& lines) {
  workspace_line* next = nullptr;
  for (auto& [name, line] : lines.lines) {
    if (!line.calls.empty() && (next == nullptr || line.turn < next->turn)) {
      next = &line;
    }
  }
  return *next;
}

// An empty line is kept until the others have caught up with it: a workspace
// that always has one call waiting would otherwise never pay for its last one.
void stage_queue::DropSettled(class_lines& lines) {
  std::erase_if(lines.lines, [&](const auto& entry) {
    return entry.second.calls.empty() &&
           (lines.size == 0 || entry.second.turn <= lines.turn);
  });
}

std::vector<queued_call> stage_queue::PopOverdue(time_point now) {
  std::vector<queued_call> overdue;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first < now) {
    overdue.push_back(Take(by_latest_start_.begin()->second));
  }
  return overdue;
}

queued_call stage_queue::Take(stage_ticket ticket) {
  const auto found = calls_.find(ticket);
  queued_call call = std::move(found->second.call);
  class_lines& lines = classes_[IndexOf(call.request.priority)];
  lines.lines.at(call.request.workspace).calls.erase(found->second.where);
  --lines.size;
  lines.work = lines.size == 0 ? 0 : lines.work - call.cost;
  const auto tenth =
      lines.work_by_deadline.find(TenthOf(call.request.deadline));
  if (tenth != lines.work_by_deadline.end() &&
      (tenth->second -= call.cost) < kNoWork) {
    lines.work_by_deadline.erase(tenth);
  }
  by_latest_start_.erase({call.latest_start, ticket});
  calls_.erase(found);
  return call;
}

}  // namespace slatestall
