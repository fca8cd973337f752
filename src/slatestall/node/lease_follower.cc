#include "slatestall/node/lease_follower.h"

#include <algorithm>
#include <utility>

#include "slatestall/node/lease_record_codec.h"

namespace slatestall {
namespace {

constexpr const char* kStream = "leases";
constexpr milliseconds kDelayPerRank{1000};
constexpr std::size_t kMaxRank = 20;
/// After an answer that is not believed.
constexpr milliseconds kDistrustGap{1000};

}  // namespace

lease_follower::lease_follower(asio::io_context& context, const host_id& self,
                               log_service log, now_function now)
    : self_(self),
      log_(std::move(log)),
      now_(std::move(now)),
      reader_(context, log_, kStream, now_, ReaderHooks()) {}

void lease_follower::Want(const std::set<std::string>& leases,
                          const std::vector<std::string>& hosts) {
  std::erase_if(keepers_, [&leases](const auto& entry) {
    return leases.count(entry.first) == 0;
  });
  for (const auto& lease : leases) {
    const auto delay = DelayOf(lease, hosts);
    const auto [entry, is_new] =
        keepers_.try_emplace(lease, lease, self_, lease_options{}, delay);
    entry->second.SetDelay(delay);
    if (is_new && caught_up_) {
      entry->second.CaughtUp(now_());
    }
    if (resigned_) {
      entry->second.Resign();
    }
  }
}

void lease_follower::Resign() {
  resigned_ = true;
  for (auto& [lease, keeper] : keepers_) {
    keeper.Resign();
  }
}

void lease_follower::Tick() {
  for (auto& [lease, keeper] : keepers_) {
    const auto id = self_.name + "." + std::to_string(self_.incarnation) + "." +
                    std::to_string(appends_++);
    const auto record = keeper.TakeDue(table_, position_, id, now_());
    // How the append ended does not matter: it counts once it is read.
    if (record) {
      log_.append(kStream, EncodeLeaseRecord(*record),
                  [](const append_result&) {});
    }
  }
}

std::optional<std::uint64_t> lease_follower::Fencing(
    const std::string& lease) const {
  const auto found = keepers_.find(lease);
  return found == keepers_.end() ? std::nullopt : found->second.Fencing(now_());
}

stream_reader_hooks lease_follower::ReaderHooks() {
  stream_reader_hooks hooks;
  hooks.from = [this] { return position_; };
  hooks.may_wait = [this] { return caught_up_; };
  hooks.take = [this](const read_result& read) { return Take(read); };
  return hooks;
}

milliseconds lease_follower::Take(const read_result& read) {
  if (!read.ok) {
    return milliseconds{0};
  }
  // A log restored from an old copy gives offsets, and so fencing numbers, a
  // second time. No lease is taken from it: engines keep what they have.
  if (read.next < seen_next_) {
    StartOver(position_);
    return kDistrustGap;
  }
  seen_next_ = read.next;
  if (read.first > position_) {
    StartOver(read.first);
  }
  for (const auto& record : read.records) {
    if (record.offset >= position_) {
      position_ = record.offset + 1;
      TakeRecord(record);
    }
  }
  if (position_ >= read.next) {
    caught_up_ = true;
    for (auto& [lease, keeper] : keepers_) {
      keeper.CaughtUp(now_());
    }
  }
  return milliseconds{0};
}

void lease_follower::TakeRecord(const log_record& record) {
  const auto decoded = DecodeLeaseRecord(record);
  if (!decoded) {
    return;
  }
  const bool took_effect = table_.Take(*decoded);
  const auto keeper = keepers_.find(decoded->lease);
  if (keeper != keepers_.end()) {
    keeper->second.Saw(*decoded, took_effect, table_, now_());
  }
}

// Records were missed. What this host believed to hold may have been taken
// over in them, so all its part is forgotten; others see its leases lapse.
void lease_follower::StartOver(log_offset first) {
  position_ = first;
  table_ = {};
  caught_up_ = false;
  keepers_.clear();
}

milliseconds lease_follower::DelayOf(
    const std::string& lease, const std::vector<std::string>& hosts) const {
  const auto own = StableHash(lease + '\n' + self_.name);
  const auto rank = static_cast<std::size_t>(std::count_if(
      hosts.begin(), hosts.end(),
      [&](const auto& host) { return StableHash(lease + '\n' + host) < own; }));
  return kDelayPerRank * static_cast<int>(std::min(rank, kMaxRank));
}

}  // namespace slatestall
