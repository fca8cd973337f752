#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief All pieces of one stage of one request.
/// @ingroup dispatch
struct piece_group {
  std::string request;
  unsigned stage = 0;
  unsigned pieces = 0;
  std::string key;                  ///< Of stages without inputs.
  std::vector<std::string> inputs;  ///< Handles of earlier results.
  int rank = 0;                     ///< Of the request; 0 is most urgent.
  time_point useful_by{};        ///< Later results make the whole answer late.
  time_point worthless_after{};  ///< Later ones miss the whole deadline.
};

using piece_group_ptr = std::shared_ptr<const piece_group>;

/// @brief One piece in the queue or in a call.
struct waiting_piece {
  piece_group_ptr group;
  unsigned piece = 0;
};

/// @brief What one call is to carry.
struct piece_batch {
  std::vector<waiting_piece> pieces;
  std::vector<piece_group_ptr> expired;  ///< Dropped: too late for any use.
};

/// @brief Pieces that wait for a call of one stage service, of any requests.
///
/// Answers bursts in which more pieces arrive than the endpoints can make. A
/// call costs far more than a piece, so a call takes as many as wait, the most
/// pressing first: those that can still make their request's objective by how
/// little time they have, then those that are late anyhow. A late piece never
/// delays one that can be in time, and fills calls that would go half empty.
class piece_queue {
 public:
  void Add(const piece_group_ptr& group);
  /// @brief Puts a single piece back that a call did not make.
  void AddAgain(const waiting_piece& piece);
  /// @brief Drops what waits of a group.
  void Remove(const piece_group* group);

  /// @param call_time How long a call made now is expected to take.
  piece_batch Take(time_point now, duration call_time, unsigned most);

  std::size_t Pieces() const { return pieces_.size(); }
  /// @brief Pieces of requests that rank at least as urgent as this.
  std::size_t PiecesAhead(int rank) const;

 private:
  std::vector<waiting_piece> pieces_;
};

}  // namespace slatestall
