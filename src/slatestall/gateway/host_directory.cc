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
/// The own entry waits as long for the first read. A store that takes one entry
/// at a time is as far behind where a thousand hosts start.
constexpr milliseconds kFirstReadWait{2000};
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
/// Records of versions have keys of their own: they change with releases, and
/// entries are written all the time.
constexpr std::string_view kVersionsPrefix = "versions/";
/// For which a version stays recorded after its last endpoint has left the
/// list: twice the patience of a caller who waits half a minute.
constexpr milliseconds kStreamLife{60'000};
/// Hosts write one after the other, so that a large fleet stays within what
/// the store takes. Where one has written, endpoints are used by all.
constexpr milliseconds kRecordSpread{4};
constexpr milliseconds kMaintainInterval{5000};
/// A host that the store turns away goes by what it has read for as long.
constexpr milliseconds kOutlivedAfter{600'000};
constexpr milliseconds kOutlivedSpread{120'000};
/// Of a store that never came back from an older copy.
constexpr std::uint64_t kFirstEra = 1;

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
                               census_hook on_census, version_hooks versions)
    : options_(options),
      entry_life_(EntryLife(options.repeats)),
      announce_(link.announce),
      log_(log),
      now_(std::move(now)),
      on_hosts_(std::move(on_hosts)),
      on_census_(std::move(on_census)),
      versions_(std::move(versions)),
      own_(kStreamLife),
      outlived_after_(kOutlivedAfter + RandomBelow(kOutlivedSpread)),
      timer_(context),
      follow_timer_(context),
      record_timer_(context),
      maintain_timer_(context),
      follower_(
          context, Timed(link.hosts),
          {milliseconds(0), kReadInterval, options.restore_time},
          {.on_all = [this](const auto& records) { Take(records); },
           .on_changes = [this](const auto& records) { Take(records); },
           .on_read = [this](const keyed_read& read) { OnRead(read); },
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
  AnnounceAfter(kFirstReadWait + RandomBelow(kFirstReadWait));
  follow_timer_.expires_after(RandomBelow(kFirstSpread));
  follow_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                               const asio::error_code& error) {
    if (!error && !alive.expired()) {
      follower_.Start();
    }
  });
  Maintain();
}

void host_directory::OnRead(const keyed_read& read) {
  if (read.outcome != store_outcome::kDone) {
    return;
  }
  read_by_itself_ = !read.second_hand;
  NoteEra(read.era);
  census_.read_at = read_began_ - read.age - kToldSlack;
  Publish();
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
  RecordAfter(RandomBelow(kAnnounceAgain));
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
  self.records_versions = TellsVersions();
  tells_versions_ = self.records_versions;
  is_announced_ = true;
  announce_(
      options_.host_name, WriteHostEntry(self),
      [this, began = now_(),
       alive = std::weak_ptr<int>(alive_)](store_outcome outcome) {
        if (alive.expired()) {
          return;
        }
        const bool done = outcome == store_outcome::kDone;
        if (done && census_.announced_at == time_point{} && !was_listed_) {
          // Others that start now have written since the first read.
          follower_.ReadNow([](bool) {});
        }
        if (done) {
          census_.announced_at = began;
        }
        AnnounceAfter(done ? NextInterval()
                           : kAnnounceRetry + RandomBelow(kAnnounceRetry));
      });
}

void host_directory::Take(const std::vector<keyed_record>& records) {
  for (const auto& record : records) {
    if (record.key.starts_with(kVersionsPrefix)) {
      TakeVersions(record.key.substr(kVersionsPrefix.size()), record.value);
    } else {
      TakeHost(record);
    }
  }
  if (!own_.HasBegun() && read_by_itself_) {
    BeginOwnVersions();
  }
  Publish();
  versions_.on_recorded();
}

void host_directory::TakeHost(const keyed_record& record) {
  if (!record.value) {
    entries_.erase(record.key);
    ledger_.Forget(record.key);
    return;
  }
  auto listed = ReadHostEntry(record.key, *record.value);
  if (!listed) {
    log_.Write("host_unreadable", {{"host", record.key}});
    return;
  }
  if (record.key == options_.host_name && !is_announced_) {
    was_listed_ = true;
  }
  ledger_.NoteHost(record.key, listed->records_versions);
  entries_[record.key] = {std::move(*listed), now_()};
}

void host_directory::TakeVersions(const std::string& host,
                                  const std::optional<std::string>& value) {
  if (!value) {
    ledger_.ForgetRecord(host);
    if (host == options_.host_name && recorded_) {
      // Another host has taken this one for gone.
      recorded_.reset();
      RecordAfter(milliseconds(0));
    }
    return;
  }
  auto record = ReadVersionRecord(*value);
  if (host != options_.host_name || !own_.HasBegun()) {
    ledger_.NoteRecord(host, std::move(record));
  } else if (!records_ && recorded_ != record) {
    // A write whose answer was lost came after a later one.
    recorded_ = std::move(record);
    RecordAfter(kAnnounceRetry);
  }
}

/// Nothing that an earlier process of this name has recorded may be lost, and
/// nothing may be taken for complete that is not known to be.
void host_directory::BeginOwnVersions() {
  const auto* before = ledger_.RecordOf(options_.host_name);
  bool is_complete = !is_announced_ && era_ <= kFirstEra;
  if (before != nullptr) {
    is_complete = before->is_complete && before->era == era_;
    recorded_ = *before;
  } else if (was_listed_) {
    is_complete =
        is_complete && entries_.at(options_.host_name).listed.records_versions;
  }
  own_.Begin(before, is_complete, now_());
  log_.Write("versions_recorded_before",
             {{"any", before != nullptr}, {"complete", is_complete}});
  RecordAfter(milliseconds(0));
  AnnounceVersions();
}

/// The own entry hides that of an earlier process, so that others must by then
/// find a record which says that it may have begun streams.
bool host_directory::TellsVersions() const {
  return own_.HasBegun() && (recorded_ || own_.IsComplete(now_()));
}

void host_directory::AnnounceVersions() {
  if (TellsVersions() && !tells_versions_) {
    AnnounceAfter(is_announced_ ? RandomBelow(kAnnounceAgain)
                                : milliseconds(0));
  }
}

void host_directory::NoteListed(const std::string& service,
                                const std::string& version) {
  own_.NoteListed(service, version, now_());
  const auto* own = ledger_.RecordOf(options_.host_name);
  const bool is_recorded = own != nullptr && own->Names(service, version);
  if (!is_recorded && own_.HasBegun()) {
    RecordAfter(RandomBelow(kRecordSpread *
                            static_cast<std::int64_t>(entries_.size() + 1)));
  }
}

bool host_directory::IsRecorded(const std::string& service,
                                const std::string& version) const {
  return ledger_.IsRecorded(service, version);
}

void host_directory::RecordAfter(milliseconds delay) {
  if (!own_.HasBegun() || std::exchange(records_, true)) {
    return;
  }
  record_timer_.expires_after(delay);
  record_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Record();
    }
  });
}

/// While the store is away no entry shows that its endpoint is still listed.
void host_directory::Record() {
  versions_.note_listed();
  const auto record = own_.Record(ledger_, era_, now_());
  const bool is_needed =
      recorded_ || !record.versions.empty() || !record.is_complete;
  if (!is_needed || recorded_ == record) {
    records_ = false;
    return;
  }
  announce_(std::string(kVersionsPrefix) + options_.host_name,
            WriteVersionRecord(record),
            [this, record,
             alive = std::weak_ptr<int>(alive_)](store_outcome outcome) {
              if (!alive.expired()) {
                OnRecorded(record, outcome);
              }
            });
}

void host_directory::OnRecorded(const version_record& record,
                                store_outcome outcome) {
  records_ = false;
  if (outcome != store_outcome::kDone) {
    RecordAfter(kAnnounceRetry + RandomBelow(kAnnounceRetry));
    return;
  }
  recorded_ = record;
  ledger_.NoteRecord(options_.host_name, record);
  log_.Write("versions_recorded", {{"services", record.versions.size()},
                                   {"complete", record.is_complete}});
  RecordAfter(milliseconds(0));  // What was listed meanwhile.
  AnnounceVersions();
  versions_.on_recorded();
}

void host_directory::FindOnlyVersion(const std::string& service,
                                     milliseconds time, version_hook done) {
  if (time > kStreamLife) {
    done(std::nullopt);
    return;
  }
  follower_.ReadNow([this, service, done = std::move(done)](bool is_current) {
    const bool is_known = is_current && own_.IsComplete(now_());
    done(is_known ? ledger_.Only(service, era_) : std::nullopt);
  });
}

void host_directory::Maintain() {
  RecordAfter(milliseconds(0));  // Versions whose streams are over.
  DeleteOutlived();
  maintain_timer_.expires_after(kMaintainInterval);
  maintain_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Maintain();
    }
  });
}

/// Else what hosts that are gone for good have recorded would stand for ever.
/// The record goes first: without the entry nobody would delete it.
void host_directory::DeleteOutlived() {
  for (auto& [name, entry] : entries_) {
    if (name == options_.host_name ||
        now_() - entry.renewed < outlived_after_) {
      continue;
    }
    entry.renewed = now_();  // The next try, should this one fail.
    announce_(std::string(kVersionsPrefix) + name, "",
              [this, host = name,
               alive = std::weak_ptr<int>(alive_)](store_outcome outcome) {
                if (!alive.expired() && outcome == store_outcome::kDone) {
                  announce_(host, "", [](store_outcome) {});
                }
              });
  }
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
