#include "slatestall/gateway/topic_follower.h"

#include <algorithm>
#include <utility>

#include "slatestall/gateway/random_time.h"

namespace slatestall {
namespace {

/// After a failed read; doubles up to the longest, with up to a half less, so
/// that hosts do not come back to a struggling store all at once. The longest
/// is well under the two seconds in which a change must be in force.
constexpr milliseconds kFirstRetry{100};
constexpr milliseconds kLongestRetry{600};
constexpr unsigned kMaxDoublings = 3;
/// Of a whole that was never read. A fleet that starts would else keep a store
/// that answers too late for its patience from ever answering in time.
constexpr milliseconds kLongestFirstRetry{2000};
constexpr unsigned kMaxFirstDoublings = 5;

milliseconds RetryDelay(unsigned failures, bool has_all) {
  const auto doublings =
      std::min(failures, has_all ? kMaxDoublings : kMaxFirstDoublings);
  const auto doubled = std::min(kFirstRetry * (1U << doublings),
                                has_all ? kLongestRetry : kLongestFirstRetry);
  if (!has_all) {
    return kFirstRetry / 2 + RandomBelow(2 * doubled);
  }
  const auto half = doubled / 2;
  return half + RandomBelow(half + milliseconds(1));
}

}  // namespace

topic_follower::topic_follower(asio::io_context& context, keyed_topic topic,
                               const follow_pace& pace, follow_hooks hooks)
    : context_(context),
      timer_(context),
      topic_(std::move(topic)),
      pace_(pace),
      hooks_(std::move(hooks)),
      restored_timer_(context) {}

topic_follower::~topic_follower() = default;

void topic_follower::Start() { ReadNewest(); }

void topic_follower::ReadNewest() {
  topic_.read_newest([this, from = next_, alive = std::weak_ptr<int>(alive_)](
                         const keyed_read& read) {
    if (!alive.expired()) {
      OnNewest(from, read);
    }
  });
}

void topic_follower::ReadNext() {
  topic_.read_from(next_, pace_.wait,
                   [this, from = next_, alive = std::weak_ptr<int>(alive_)](
                       const keyed_read& read) {
                     if (!alive.expired()) {
                       OnNext(from, read);
                     }
                   });
}

void topic_follower::ReadNow(current_hook done) {
  await_now_.push_back(std::move(done));
  if (!reads_now_) {
    StartReadNow();
  }
}

/// One read serves all that came before it began; what comes meanwhile needs
/// another.
void topic_follower::StartReadNow() {
  const auto hooks = std::exchange(await_now_, {});
  if (!has_all_ || restores_) {
    for (const auto& done : hooks) {
      done(false);
    }
    return;
  }
  reads_now_ = true;
  const auto take = [this, from = next_, hooks,
                     alive =
                         std::weak_ptr<int>(alive_)](const keyed_read& read) {
    if (alive.expired()) {
      return;
    }
    reads_now_ = false;
    const bool is_current = TakeCurrent(from, read);
    for (const auto& done : hooks) {
      done(is_current);
    }
    if (!reads_now_ && !await_now_.empty()) {
      StartReadNow();
    }
  };
  if (topic_.read_now) {
    topic_.read_now(next_, take);
  } else {
    topic_.read_from(next_, milliseconds(0), take);
  }
}

/// Other outcomes are left to the reads in order.
bool topic_follower::TakeCurrent(std::uint64_t from, const keyed_read& read) {
  if (read.outcome != store_outcome::kDone || read.era != era_ || restores_) {
    return false;
  }
  TakeChanges(from, read);
  return next_ >= read.end;
}

/// Reads may overlap: records that another has brought are not taken again.
void topic_follower::TakeChanges(std::uint64_t from, const keyed_read& read) {
  if (from > next_) {
    return;  // The whole was read again meanwhile, up to an earlier place.
  }
  auto records = read.records;
  const auto known = std::min<std::uint64_t>(next_ - from, records.size());
  if (known > 0 && read.next <= next_) {
    return;
  }
  if (read.is_compacted) {
    std::erase_if(records, [this](const keyed_record& record) {
      return record.offset < next_;
    });
  } else {
    records.erase(records.begin(),
                  records.begin() + static_cast<std::ptrdiff_t>(known));
  }
  next_ = read.next;
  if (!records.empty()) {
    hooks_.on_changes(records);
  }
}

void topic_follower::OnNewest(std::uint64_t from, const keyed_read& read) {
  hooks_.on_read(read);
  if (read.outcome != store_outcome::kDone || IsOutdated(read)) {
    Retry();
    return;
  }
  // Only where another read went on meanwhile: a store may begin anew at an
  // earlier offset.
  if (has_all_ && read.era == era_ && next_ > from && read.next < next_) {
    reads_all_next_ = true;
    After(kFirstRetry, &topic_follower::ReadNext);
    return;
  }
  if (has_all_ && read.era > era_) {
    BeginRestoration();
  }
  failures_ = 0;
  has_all_ = true;
  next_ = read.next;
  era_ = read.era;
  (restores_ ? hooks_.on_restored : hooks_.on_all)(read.records);
  After(read.was_held ? milliseconds(0) : pace_.interval,
        &topic_follower::ReadNext);
}

void topic_follower::OnNext(std::uint64_t from, const keyed_read& read) {
  if (read.outcome == store_outcome::kTooOld) {
    // What was deleted in between is told only by its absence.
    ReadNewest();
    return;
  }
  if (read.outcome == store_outcome::kDone && read.era > era_) {
    ReadNewest();
    return;
  }
  hooks_.on_read(read);
  if (read.outcome != store_outcome::kDone || IsOutdated(read)) {
    Retry();
    return;
  }
  failures_ = 0;
  TakeChanges(from, read);
  // A store tells at most so much at a time: a reader that paused between two
  // such parts would fall behind for good once more is written than that.
  const bool more_waits = read.end > read.next;
  const auto pause =
      read.was_held || more_waits ? milliseconds(0) : pace_.interval;
  After(pause, std::exchange(reads_all_next_, false)
                   ? &topic_follower::ReadNewest
                   : &topic_follower::ReadNext);
}

void topic_follower::BeginRestoration() {
  restores_ = true;
  reads_all_next_ = false;
  restored_timer_.expires_after(pace_.restore_time);
  restored_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                                 const asio::error_code& error) {
    if (!error && !alive.expired()) {
      restores_ = false;
      reads_all_next_ = true;
    }
  });
}

void topic_follower::Retry() {
  const auto delay = RetryDelay(failures_++, has_all_);
  After(delay,
        has_all_ ? &topic_follower::ReadNext : &topic_follower::ReadNewest);
}

void topic_follower::After(milliseconds delay, void (topic_follower::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next](const asio::error_code& error) {
    if (!error) {
      (this->*next)();
    }
  });
}

}  // namespace slatestall
