#include "slatestall/dispatch/workspace_shares.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace slatestall {
namespace {

/// Without a refusal for so long there is room for all.
constexpr milliseconds kShortFor{1000};
constexpr std::size_t kMostWorkspaces = 512;
/// A workspace may be that much above its share: work comes in steps.
constexpr double kTolerance = 1.1;
/// A share is used for so long: there may be hundreds of workspaces.
constexpr milliseconds kShareLife{50};
/// Work a second that is everybody's share at least.
constexpr double kLeastShare = 0.05;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

/// The level up to which demands are filled so that they take `total` together.
/// @returns nothing where `total` covers them all.
std::optional<double> FillLevel(std::vector<double> demands, double total) {
  std::sort(demands.begin(), demands.end());
  auto left = demands.size();
  for (const double demand : demands) {
    const double level = total / static_cast<double>(left);
    if (demand > level) {
      return level;
    }
    total -= demand;
    --left;
  }
  return std::nullopt;
}

}  // namespace

workspace_shares::workspace_use& workspace_shares::UseOf(
    std::string_view workspace, time_point now) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    return found->second;
  }
  MakeRoom(now);
  return workspaces_[std::string(workspace)];
}

/// The one that asks least gives way.
void workspace_shares::MakeRoom(time_point now) {
  if (workspaces_.size() < kMostWorkspaces) {
    return;
  }
  workspaces_.erase(std::min_element(workspaces_.begin(), workspaces_.end(),
                                     [now](const auto& a, const auto& b) {
                                       return a.second.asked.Value(now) <
                                              b.second.asked.Value(now);
                                     }));
}

void workspace_shares::NoteDemand(std::string_view workspace, duration work,
                                  time_point now) {
  UseOf(workspace, now).asked.Add(Seconds(work), now);
}

void workspace_shares::NoteAdmitted(std::string_view workspace, duration work,
                                    time_point now) {
  UseOf(workspace, now).admitted.Add(Seconds(work), now);
}

void workspace_shares::NoteReleased(std::string_view workspace, duration work,
                                    time_point now) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    auto& admitted = found->second.admitted;
    admitted.Add(-std::min(Seconds(work), admitted.Value(now)), now);
  }
}

void workspace_shares::NoteRefused(time_point now) {
  if (refused_at_ == time_point{} || now - refused_at_ > kShortFor) {
    short_since_ = now;
  }
  refused_at_ = now;
}

std::optional<double> workspace_shares::Share(time_point now) const {
  if (share_at_ == time_point{} || now - share_at_ >= kShareLife) {
    share_ = FindShare(now);
    share_at_ = now;
  }
  return share_;
}

std::optional<double> workspace_shares::FindShare(time_point now) const {
  if (refused_at_ == time_point{} || now - refused_at_ > kShortFor) {
    return std::nullopt;
  }
  std::vector<double> demands;
  demands.reserve(workspaces_.size());
  double admitted = 0;
  for (const auto& [name, use] : workspaces_) {
    demands.push_back(use.asked.Rate(now));
    admitted += use.admitted.Rate(now);
  }
  // One that asks alone has nobody to leave room to. Its use would soon be
  // above its share, which is found only now and then.
  const double most =
      demands.empty() ? 0.0 : *std::max_element(demands.begin(), demands.end());
  if (std::accumulate(demands.begin(), demands.end(), 0.0) - most <
      kLeastShare) {
    return std::nullopt;
  }
  const auto level = FillLevel(std::move(demands), admitted);
  return level ? std::optional(std::max(kLeastShare, *level)) : std::nullopt;
}

double workspace_shares::Use(std::string_view workspace, time_point now) const {
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end() ? 0.0 : found->second.admitted.Rate(now);
}

bool workspace_shares::IsOver(std::string_view workspace,
                              time_point now) const {
  const auto share = Share(now);
  return share && Use(workspace, now) > *share * kTolerance;
}

}  // namespace slatestall
