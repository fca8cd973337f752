#include "slatestall/dispatch/piece_queue.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

/// Of a full call.
constexpr double kRankStepPart = 0.36;

/// Part of a full call that a piece waits for an endpoint near its bytes: after
/// a whole one each endpoint there has been free once.
constexpr double kNearWaitPart = 0.9;
/// Part of the spare time that may go into that wait.
constexpr int kSparePart = 3;

struct pressing_order {
  time_point done_by;  ///< When a call made now ends.
  duration rank_step;

  bool Late(const piece_group& group) const {
    return group.useful_by < done_by;
  }

  time_point Due(const piece_group& group, bool late) const {
    return (late ? group.worthless_after : group.useful_by) +
           rank_step * group.rank;
  }

  bool operator()(const piece_group& a, const piece_group& b) const {
    const bool a_late = Late(a);
    const bool b_late = Late(b);
    if (a_late != b_late) {
      return b_late;
    }
    return Due(a, a_late) < Due(b, b_late);
  }
};

bool IsFar(const piece_group& group, const batch_terms& terms) {
  return !group.near.empty() && group.near != terms.domain;
}

duration NearWait(const piece_group& group, time_point now,
                  duration call_time) {
  const duration most = Scaled(call_time, kNearWaitPart);
  if (group.near.empty()) {
    return duration(0);
  }
  const duration spare = group.useful_by - now;
  if (spare <= duration(0)) {
    return most;  // Late already; a little more costs nothing.
  }
  return std::min<duration>(most, spare / kSparePart);
}

/// Too late for any use, or late and passed over for long: while pieces that
/// can be in time fill the calls, a late one would wait until its deadline, and
/// its caller with it.
bool IsHopeless(const piece_group& group, time_point now, duration late_wait,
                time_point done_by) {
  return group.worthless_after < done_by ||
         (group.useful_by < done_by && group.came + late_wait < now);
}

}  // namespace

duration RankStep(duration call_time) {
  return Scaled(call_time, kRankStepPart);
}

void piece_queue::Add(const piece_group_ptr& group, time_point now,
                      duration call_time) {
  const time_point anywhere_from = now + NearWait(*group, now, call_time);
  for (unsigned piece = 0; piece < group->pieces; ++piece) {
    entries_.push_back({{group, piece}, anywhere_from});
  }
}

void piece_queue::AddAgain(const waiting_piece& piece) {
  entries_.push_back({piece, time_point{}});
}

void piece_queue::Remove(const piece_group* group) {
  std::erase_if(entries_, [&](const entry& one) {
    return one.piece.group.get() == group;
  });
}

std::vector<piece_group_ptr> piece_queue::DropExpired(time_point now,
                                                      duration late_wait,
                                                      time_point done_by) {
  std::vector<piece_group_ptr> expired;
  for (const auto& one : entries_) {
    const auto& group = one.piece.group;
    if (IsHopeless(*group, now, late_wait, done_by) &&
        std::find(expired.begin(), expired.end(), group) == expired.end()) {
      expired.push_back(group);
    }
  }
  for (const auto& group : expired) {
    Remove(group.get());
  }
  return expired;
}

stage_backlog piece_queue::Backlog(
    time_point done_by,
    const std::function<duration(const piece_group&)>& piece_work) const {
  stage_backlog backlog;
  // Pieces of a group lie side by side but for those that were tried before.
  const piece_group* last = nullptr;
  duration work(0);
  for (const auto& one : entries_) {
    const auto& group = *one.piece.group;
    const bool is_late = group.useful_by < done_by;
    if (&group != last) {
      work = piece_work(group);
      if (!is_late) {
        backlog.in_time.push_back({group.useful_by, group.rank, duration(0)});
      }
    }
    last = &group;
    (is_late ? backlog.late : backlog.in_time.back().work) += work;
  }
  return backlog;
}

piece_batch piece_queue::Take(const batch_terms& terms) {
  piece_batch batch;
  const auto fill = std::min<std::size_t>(entries_.size(), terms.most);
  batch.done_by = terms.now + terms.call_time +
                  terms.piece_time * static_cast<duration::rep>(fill);
  batch.expired = DropExpired(terms.now, terms.late_wait, batch.done_by);
  const pressing_order order{batch.done_by,
                             RankStep(batch.done_by - terms.now)};
  // Within a class those near their bytes go first: with all endpoints busy,
  // each takes its own domain's pieces, and others' only to fill a call.
  std::stable_sort(
      entries_.begin(), entries_.end(), [&](const entry& a, const entry& b) {
        const auto& left = *a.piece.group;
        const auto& right = *b.piece.group;
        const bool left_far = IsFar(left, terms);
        const bool right_far = IsFar(right, terms);
        if (left_far != right_far && order.Late(left) == order.Late(right)) {
          return right_far;
        }
        return order(left, right);
      });
  std::uint64_t room = terms.room;
  std::vector<entry> left;
  left.reserve(entries_.size());
  for (auto& one : entries_) {
    const auto& group = *one.piece.group;
    const bool fits_domain = !IsFar(group, terms) ||
                             terms.now >= one.anywhere_from ||
                             !terms.has_endpoint(group.near);
    if (batch.pieces.size() < terms.most && fits_domain &&
        group.result_bytes <= room) {
      room -= group.result_bytes;
      batch.pieces.push_back(std::move(one.piece));
    } else {
      left.push_back(std::move(one));
    }
  }
  entries_ = std::move(left);
  return batch;
}

}  // namespace slatestall
