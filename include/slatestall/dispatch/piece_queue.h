#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/dispatch/request_digest.h"
#include "slatestall/dispatch/stage_admission.h"
#include "slatestall/model/region_limit.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief All pieces of one stage of one request.
/// @ingroup dispatch
struct piece_group {
  std::string request;
  request_digest content = 0;  ///< Of the request; 0: not told.
  std::string workspace;       ///< Empty: none.
  std::uint64_t kind = 0;      ///< Stage of a route; equal ones cost alike.
  unsigned stage = 0;
  unsigned pieces = 0;
  std::string key;                  ///< Of stages without inputs.
  std::vector<std::string> inputs;  ///< Handles of earlier results.
  int rank = 0;                     ///< Of the request; 0 is most urgent.
  time_point useful_by{};        ///< Later results make the whole answer late.
  time_point worthless_after{};  ///< Later ones miss the whole deadline.
  /// Failure domain where it saves bytes to make them: there lie the inputs,
  /// or there is what takes the results. Empty: none.
  std::string near;
  std::uint64_t result_bytes = 0;  ///< Of one piece, approximate.
  region_limit regions;            ///< Where they may be made.
  time_point came{};               ///< When its home took it.
};

using piece_group_ptr = std::shared_ptr<const piece_group>;

/// @brief One piece in the queue or in a call.
struct waiting_piece {
  piece_group_ptr group;
  unsigned piece = 0;
};

/// @brief What a call that could be made now may carry.
struct batch_terms {
  time_point now{};
  duration call_time{0};   ///< How long one without pieces would take.
  duration piece_time{0};  ///< What each piece adds.
  duration late_wait{0};   ///< That a group which is late may have waited.
  unsigned most = 1;
  std::string domain;      ///< Of the endpoint.
  std::uint64_t room = 0;  ///< Bytes of results that it can take.
  /// Whether a failure domain has an endpoint that could make pieces at all.
  std::function<bool(const std::string& domain)> has_endpoint;
};

/// @brief By how much a request of the next rank is taken to be due later:
/// enough for the more urgent one to go first where both are close, too little
/// to starve the other.
/// @param call_time Of a full call.
duration RankStep(duration call_time);

struct piece_batch {
  std::vector<waiting_piece> pieces;
  std::vector<piece_group_ptr> expired;  ///< Dropped: too late for any use.
  time_point done_by{};                  ///< When the call is expected to end.
};

/// @brief Pieces that wait for a call of one stage service, of any requests.
///
/// Answers bursts in which more pieces arrive than the endpoints can make. A
/// call costs far more than a piece, so a call takes as many as wait, the most
/// pressing first: those that can still make their request's objective by how
/// little time they have, then those that are late anyhow. A late piece never
/// delays one that can be in time, and fills calls that would go half empty.
/// One that was passed over for some calls is given up, so that its caller is
/// told while there is time to come back.
///
/// What a call ends in time is told by the time of a call as full as the queue
/// makes it. By the time of an almost empty one the most pressing pieces went
/// first although their calls ended too late, and those behind them became
/// late in turn.
///
/// A piece waits a little for an endpoint in the failure domain where it saves
/// bytes, never so long that this makes it late.
class piece_queue {
 public:
  /// @param call_time Of a full call.
  void Add(const piece_group_ptr& group, time_point now, duration call_time);
  /// @brief Puts a single piece back that a call did not make.
  void AddAgain(const waiting_piece& piece);
  /// @brief Drops what waits of a group.
  void Remove(const piece_group* group);

  piece_batch Take(const batch_terms& terms);
  /// @brief Drops groups that are too late for any use where no call ends
  /// before `done_by`, and late ones that have waited for long.
  std::vector<piece_group_ptr> DropExpired(time_point now, duration late_wait,
                                           time_point done_by);

  std::size_t Pieces() const { return entries_.size(); }
  /// @brief Work that waits; in time is what a call that ends by `done_by`
  /// makes in time.
  /// @param piece_work Time of an endpoint that one piece of a group takes.
  stage_backlog Backlog(
      time_point done_by,
      const std::function<duration(const piece_group&)>& piece_work) const;

 private:
  struct entry {
    waiting_piece piece;
    time_point anywhere_from{};  ///< From then on, the domain matters no more.
  };

  std::vector<entry> entries_;
};

}  // namespace slatestall
