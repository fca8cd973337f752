#include "slatestall/dispatch/piece_queue.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

/// How much later a request of the next rank is taken to be due. Half a call:
/// enough for the more urgent one to go first where both are close, too little
/// to starve the other.
constexpr milliseconds kRankStep{100};

struct pressing_order {
  time_point in_time_if_done_by;

  bool Late(const waiting_piece& piece) const {
    return piece.group->useful_by < in_time_if_done_by;
  }

  static time_point Due(const waiting_piece& piece, bool late) {
    const auto& group = *piece.group;
    return (late ? group.worthless_after : group.useful_by) +
           kRankStep * group.rank;
  }

  bool operator()(const waiting_piece& a, const waiting_piece& b) const {
    const bool a_late = Late(a);
    const bool b_late = Late(b);
    if (a_late != b_late) {
      return b_late;
    }
    return Due(a, a_late) < Due(b, b_late);
  }
};

}  // namespace

void piece_queue::Add(const piece_group_ptr& group) {
  for (unsigned piece = 0; piece < group->pieces; ++piece) {
    pieces_.push_back({group, piece});
  }
}

void piece_queue::AddAgain(const waiting_piece& piece) {
  pieces_.push_back(piece);
}

void piece_queue::Remove(const piece_group* group) {
  std::erase_if(pieces_, [&](const waiting_piece& piece) {
    return piece.group.get() == group;
  });
}

piece_batch piece_queue::Take(time_point now, duration call_time,
                              unsigned most) {
  piece_batch batch;
  const time_point done_by = now + call_time;
  for (const auto& piece : pieces_) {
    if (piece.group->worthless_after < done_by &&
        (batch.expired.empty() || batch.expired.back() != piece.group)) {
      batch.expired.push_back(piece.group);
    }
  }
  for (const auto& group : batch.expired) {
    Remove(group.get());
  }
  std::stable_sort(pieces_.begin(), pieces_.end(), pressing_order{done_by});
  const auto count = std::min<std::size_t>(most, pieces_.size());
  const auto end = pieces_.begin() + static_cast<std::ptrdiff_t>(count);
  batch.pieces.assign(pieces_.begin(), end);
  pieces_.erase(pieces_.begin(), end);
  return batch;
}

std::size_t piece_queue::PiecesAhead(int rank) const {
  return static_cast<std::size_t>(std::count_if(
      pieces_.begin(), pieces_.end(),
      [&](const auto& piece) { return piece.group->rank <= rank; }));
}

}  // namespace slatestall
