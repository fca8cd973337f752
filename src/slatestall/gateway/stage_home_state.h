#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/dispatch/moving_average.h"
#include "slatestall/dispatch/piece_costs.h"
#include "slatestall/dispatch/workspace_shares.h"
#include "slatestall/gateway/stage_home.h"

namespace slatestall {

/// Some thirty calls, a second or two of a busy shard, make the mean.
constexpr double kPieceTimeWeight = 0.03;

struct stage_home::group_state {
  stage_number number = 0;
  stage_shard shard;
  piece_group_ptr group;
  std::vector<std::optional<std::string>> handles;  ///< Of pieces made.
  std::vector<unsigned> tries;
  std::size_t missing = 0;
  bool expected_in_time = false;  ///< As booked, when its pieces came.
  std::function<void(stage_outcome)> done;

  bool IsMade(std::size_t piece) const { return handles[piece].has_value(); }
  std::vector<std::string> TakeHandles();
};

struct stage_home::call_state {
  stage_shard shard;
  endpoint_record_ptr record;
  std::vector<waiting_piece> pieces;
  time_point sent{};
  duration nominal{0};    ///< What an ordinary endpoint takes.
  duration expected{0};   ///< What this one is expected to take.
  double pace = 1.0;      ///< Of the endpoint's machine when it was sent.
  bool is_direct = true;  ///< Not passed on by another host.
  call_outcome outcome = call_outcome::kComplete;
  std::size_t unreadable = 0;  ///< Pieces of which its answer says nothing.
  asio::steady_timer overdue;
  bool pieces_released = false;  ///< They wait for another call, too.

  explicit call_state(asio::io_context& context) : overdue(context) {}
};

/// An endpoint that turned a call away.
struct full_endpoint {
  time_point until{};  ///< Left alone until then.
  unsigned refusals = 0;
};

struct stage_home::shard_state {
  explicit shard_state(admission_order order) : admission(order) {}

  piece_queue queue;
  std::map<endpoint_incarnation, unsigned> calls;
  std::map<endpoint_incarnation, full_endpoint> paused;
  std::map<endpoint_incarnation, time_point> slowness_at;  ///< Last observed.
  stage_admission admission;
  piece_costs costs;
  workspace_shares shares;
  /// Seconds that a piece adds to a call, as seen.
  moving_average piece_time{kPieceTimeWeight};
  std::shared_ptr<asio::steady_timer> wake;
};

}  // namespace slatestall
