#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "slatestall/dispatch/decaying_sum.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Max-min fair shares of workspaces in the work of one shard.
///
/// Answers a workspace that asks many times its share, and callers that repeat
/// at once: whoever comes first would get the room, and the others none. While
/// the shard refuses work for lack of room, a workspace that has more than its
/// share leaves some room to the others. It is not held to its share: what they
/// do not ask for is its own, so that nothing is left idle.
/// Pure state; the time comes in.
/// @ingroup dispatch
class workspace_shares {
 public:
  /// @brief A booking is asked for.
  void NoteDemand(std::string_view workspace, duration work, time_point now);
  /// @brief It was admitted.
  void NoteAdmitted(std::string_view workspace, duration work, time_point now);
  /// @brief What was admitted is not going to come.
  void NoteReleased(std::string_view workspace, duration work, time_point now);
  /// @brief A booking was refused for lack of room.
  void NoteRefused(time_point now);
  /// @brief Since when refusals have followed one another.
  time_point ShortSince() const { return short_since_; }

  /// @brief Whether the workspace has more than its share of a shard that is
  /// short of room.
  bool IsOver(std::string_view workspace, time_point now) const;

  /// @brief Work a second that is the share of those who ask for more; nothing:
  /// there is room for all.
  std::optional<double> Share(time_point now) const;
  /// @brief Work a second that was admitted of a workspace of late.
  double Use(std::string_view workspace, time_point now) const;
  /// @brief Workspaces that are told apart.
  std::size_t Known() const { return workspaces_.size(); }

 private:
  /// Demand and use are known within a second, and forgotten within some.
  static constexpr milliseconds kMemory{1000};

  struct workspace_use {
    decaying_sum asked{kMemory};     ///< Seconds of work.
    decaying_sum admitted{kMemory};  ///< Seconds of work.
  };
  using uses = std::map<std::string, workspace_use, std::less<>>;

  std::optional<double> FindShare(time_point now) const;
  workspace_use& UseOf(std::string_view workspace, time_point now);
  void MakeRoom(time_point now);

  uses workspaces_;
  time_point refused_at_{};
  time_point short_since_{};
  mutable std::optional<double> share_;  ///< As of `share_at_`.
  mutable time_point share_at_{};
};

}  // namespace slatestall
