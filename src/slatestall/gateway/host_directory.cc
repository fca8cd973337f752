#include "slatestall/gateway/host_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/gateway/random_time.h"

namespace slatestall {
namespace {

/// How often a host announces itself, up to a quarter less, so that hosts that
/// started together do not go on writing together. Hosts that are gone are
/// noticed by asking them; the list only has to lose them some day.
constexpr milliseconds kAnnounceInterval{40'000};
constexpr int kIntervalSpread = 4;
constexpr milliseconds kAnnounceRetry{700};
/// Hosts that start in the same millisecond would fill the store's queue of new
/// connections, which drops the rest, and meet there again with each try.
constexpr milliseconds kFirstSpread{200};
/// The first read follows the own entry, so that hosts that start together find
/// each other with one read each, and read one after the other: the store takes
/// one entry at a time. Where it is longer behind, reads do not wait for it.
constexpr milliseconds kOwnEntryWait{2000};
/// All hosts write again within it after the store has lost entries: a few
/// hundred writes a second of a large fleet.
constexpr milliseconds kAnnounceAgain{2000};
constexpr duration kLeastEntryLife = milliseconds(130'000);
/// A new host takes part in the work of homes that much later at most, and
/// serves its callers from the start.
constexpr milliseconds kReadInterval{3000};
/// Hosts tell the age of what they have read from when it came; the read may
/// have been under way as long.
constexpr milliseconds kToldSlack{1000};

milliseconds NextInterval() {
  const auto spread = kAnnounceInterval / kIntervalSpread;
  return kAnnounceInterval - RandomBelow(spread);
}

/// A host that was left out sooner would still draw on the reserve of repeats
/// that the others divide among themselves.
duration EntryLife(const repeat_limits& repeats) {
  return std::max(kLeastEntryLife,
                  reserve_times::For(repeats.window).EntryLife());
}

}  // namespace

host_directory::host_directory(asio::io_context& context,
                               const gateway_options& options,
                               const platform_link& link, decision_log& log,
                               now_function now, hosts_hook on_hosts,
                               census_hook on_census)
    : options_(options),
      entry_life_(EntryLife(options.repeats)),
      announce_(link.announce),
      log_(log),
      now_(std::move(now)),
      on_hosts_(std::move(on_hosts)),
      on_census_(std::move(on_census)),
      timer_(context),
      follow_timer_(context),
      follower_(
          context, Timed(link.hosts),
          {milliseconds(0), kReadInterval, options.restore_time},
          {.on_all = [this](const auto& records) { Take(records); },
           .on_changes = [this](const auto& records) { Take(records); },
           .on_read =
               [this](const keyed_read& read) {
                 if (read.outcome != store_outcome::kDone) {
                   return;
                 }
                 NoteEra(read.era);
                 census_.read_at = read_began_ - read.age - kToldSlack;
                 Publish();
               },
           .on_restored = [this](const auto& records) { Take(records); }}) {}

/// The answer holds what was written before the read began; how long it was
/// under way after that is not known.
keyed_topic host_directory::Timed(const keyed_topic& topic) {
  keyed_topic timed = topic;
  timed.read_newest = [this, read = topic.read_newest](const auto& done) {
    read_began_ = now_();
    read(done);
  };
  timed.read_from = [this, read = topic.read_from](std::uint64_t from,
                                                   milliseconds wait,
                                                   const auto& done) {
    read_began_ = now_();
    read(from, wait, done);
  };
  return timed;
}

void host_directory::Start() {
  AnnounceAfter(RandomBelow(kFirstSpread));
  follow_timer_.expires_after(kOwnEntryWait + RandomBelow(kOwnEntryWait));
  follow_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                               const asio::error_code& error) {
    if (!error && !alive.expired()) {
      Follow();
    }
  });
}

void host_directory::Follow() {
  if (!std::exchange(follows_, true)) {
    follower_.Start();
  }
}

/// The store came back from a copy that may lack the own entry. Hosts that
/// start meanwhile know only those that are listed.
void host_directory::NoteEra(std::uint64_t era) {
  if (era <= era_) {
    return;
  }
  const bool came_back = std::exchange(era_, era) > 0;
  if (!came_back) {
    return;
  }
  log_.Write("store_restored", {{"era", era}});
  AnnounceAfter(RandomBelow(kAnnounceAgain));
}

void host_directory::AnnounceAfter(milliseconds delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Announce();
    }
  });
}

void host_directory::Announce() {
  listed_gateway self;
  self.address.address =
      options_.address + ":" + std::to_string(options_.peer_port);
  self.weight = options_.Weight();
  self.relay = options_.address + ":" + std::to_string(options_.relay_port);
  self.failure_domain = options_.failure_domain;
  announce_(options_.host_name, WriteHostEntry(self),
            [this, began = now_(),
             alive = std::weak_ptr<int>(alive_)](store_outcome outcome) {
              if (alive.expired()) {
                return;
              }
              const bool done = outcome == store_outcome::kDone;
              if (done) {
                census_.announced_at = began;
              }
              Follow();
              AnnounceAfter(done
                                ? NextInterval()
                                : kAnnounceRetry + RandomBelow(kAnnounceRetry));
            });
}

void host_directory::Take(const std::vector<keyed_record>& records) {
  for (const auto& record : records) {
    if (!record.value) {
      entries_.erase(record.key);
      continue;
    }
    auto listed = ReadHostEntry(record.key, *record.value);
    if (!listed) {
      log_.Write("host_unreadable", {{"host", record.key}});
      continue;
    }
    entries_[record.key] = {std::move(*listed), now_()};
  }
  Publish();
}

void host_directory::Publish() {
  std::vector<listed_gateway> listed;
  const time_point now = now_();
  for (const auto& [name, entry] : entries_) {
    if (now - entry.renewed < entry_life_) {
      listed.push_back(entry.listed);
    }
  }
  census_.hosts = listed.size();
  on_census_(census_);
  if (listed == published_) {
    return;
  }
  published_ = listed;
  log_.Write("hosts_listed", {{"hosts", listed.size()}});
  on_hosts_(std::move(listed));
}

}  // namespace slatestall
