#include "slatestall/policy/lease_keeper.h"

#include <utility>

namespace slatestall {

lease_keeper::lease_keeper(std::string lease, host_id self,
                           lease_options options, milliseconds delay)
    : lease_(std::move(lease)),
      self_(std::move(self)),
      options_(options),
      delay_(delay) {}

// The holder counts from before it sent, the others from after they read: so
// the holder's time is over before any other may write an acquisition,
// without a clock in common.
void lease_keeper::Saw(const lease_record& record, bool took_effect,
                       const lease_table& table, time_point now) {
  last_seen_ = now;
  const bool ours = sent_ && sent_->id == record.id;
  if (ours && took_effect && record.action != lease_action::kRelease) {
    renewed_at_ = sent_->at;
  }
  if (ours) {
    sent_.reset();
  }
  const auto holder = table.HolderOf(lease_);
  const bool holds = holder && holder->host == self_;
  fencing_ = holds ? holder->fencing : 0;
}

void lease_keeper::CaughtUp(time_point now) {
  if (!caught_up_) {
    caught_up_ = true;
    last_seen_ = now;
  }
}

void lease_keeper::Resign() { resigned_ = true; }

std::optional<std::uint64_t> lease_keeper::Fencing(time_point now) const {
  const auto ends = renewed_at_ + options_.term - options_.margin;
  if (fencing_ == 0 || resigned_ || now >= ends) {
    return std::nullopt;
  }
  return fencing_;
}

bool lease_keeper::HoldsByLog(const lease_table& table) const {
  const auto holder = table.HolderOf(lease_);
  return holder && holder->host == self_;
}

bool lease_keeper::IsFree(const lease_table& table, time_point now) const {
  // Only a release that was seen shortens the wait: a lease without a known
  // record may be held by records that this host was too late to read.
  const auto quiet = table.IsReleased(lease_) ? milliseconds{0} : options_.term;
  return now - last_seen_ >= quiet + delay_;
}

std::optional<lease_record> lease_keeper::TakeDue(const lease_table& table,
                                                  std::uint64_t read_to,
                                                  const std::string& id,
                                                  time_point now) {
  if (!caught_up_) {
    return std::nullopt;
  }
  if (sent_ && now - sent_->at < options_.give_up) {
    return std::nullopt;
  }
  const bool holds = HoldsByLog(table);
  if (resigned_) {
    return holds ? Send(lease_action::kRelease, read_to, id, now)
                 : std::nullopt;
  }
  // Past its time the holder stands back like any other: a candidate may
  // already have written.
  if (holds && Fencing(now)) {
    return now - renewed_at_ >= options_.renew_every
               ? Send(lease_action::kRenew, read_to, id, now)
               : std::nullopt;
  }
  return IsFree(table, now) ? Send(lease_action::kAcquire, read_to, id, now)
                            : std::nullopt;
}

std::optional<lease_record> lease_keeper::Send(lease_action action,
                                               std::uint64_t read_to,
                                               const std::string& id,
                                               time_point now) {
  sent_ = sent_record{id, now};
  lease_record record;
  record.lease = lease_;
  record.action = action;
  record.host = self_;
  record.id = id;
  record.read_to = read_to;
  return record;
}

}  // namespace slatestall
