#include "slatestall/gateway/crash_feed.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "slatestall/gateway/random_time.h"
#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

using nlohmann::json;

/// Keys: crash/ENDPOINT/HOST, content/DIGEST.
constexpr std::string_view kCrashPrefix = "crash/";
constexpr std::string_view kContentPrefix = "content/";
/// After a failed write; doubles up to four times as much.
constexpr milliseconds kRetryPause{300};
constexpr unsigned kMaxDoublings = 2;
/// Of the time in which all hosts are to act on a crash, the rest is for
/// telling it on and judging it.
constexpr int kWaitPart = 3;
/// Between two reads while reports come in series.
constexpr milliseconds kReadPause{100};
constexpr milliseconds kCrashRecordLife{600'000};
constexpr milliseconds kContentRecordLife{3'600'000};
constexpr milliseconds kDeleteInterval{30'000};
/// Hosts delete spread over this part of a record's life, so that as a rule
/// one of them writes.
constexpr int kSpreadPart = 4;
/// Hosts write another's lost verdicts after this pause, spread so that as a
/// rule one of them does, or the writer alone.
constexpr milliseconds kRewritePause{1500};
constexpr milliseconds kRewriteSpread{2000};
/// A host has at most as many calls at one endpoint as matter here.
constexpr std::size_t kMostContents = 256;

milliseconds SpreadLife(milliseconds life) {
  return life + RandomBelow(life / kSpreadPart);
}

struct verdict_record {
  std::optional<content_verdict> verdict;  ///< Nothing: none, or unreadable.
  std::string by;
};

verdict_record VerdictIn(const std::optional<std::string>& value) {
  const auto document = ParseJson(value.value_or("{}"));
  const auto verdict = StringMember(document, "verdict").value_or("");
  return {ValueIn(kContentVerdictNames, verdict),
          StringMember(document, "by").value_or("")};
}

std::optional<request_digest> VerdictKey(std::string_view key) {
  return key.starts_with(kContentPrefix)
             ? DigestIn(key.substr(kContentPrefix.size()))
             : std::nullopt;
}

/// Where the order of two verdicts is unknown, the one that refuses nothing
/// counts.
bool Clears(const keyed_record& record) {
  return VerdictKey(record.key) &&
         VerdictIn(record.value).verdict == content_verdict::kCleared;
}

json ContentsAsJson(const std::vector<request_digest>& contents) {
  json texts = json::array();
  for (const auto content : contents) {
    if (texts.size() < kMostContents) {
      texts.push_back(DigestText(content));
    }
  }
  return texts;
}

std::optional<endpoint_crash> CrashIn(std::string_view key,
                                      const std::string& value) {
  const auto document = ParseJson(value);
  const auto slash = key.rfind('/');
  const json* running = ListMember(document, "running");
  if (slash == std::string_view::npos || running == nullptr) {
    return std::nullopt;
  }
  endpoint_crash crash;
  crash.endpoint = key.substr(0, slash);
  crash.service = StringMember(document, "service").value_or("");
  for (const auto& text : *running) {
    const auto digest = text.is_string() ? DigestIn(text.get<std::string>())
                                         : std::optional<request_digest>();
    if (digest) {
      crash.running.push_back(*digest);
    }
  }
  return crash;
}

}  // namespace

crash_feed::crash_feed(asio::io_context& context,
                       const gateway_options& options,
                       const platform_link& link, decision_log& log,
                       now_function now, crash_news news)
    : self_(options.host_name),
      write_(link.write_crash),
      log_(log),
      now_(std::move(now)),
      news_(std::move(news)),
      write_timer_(context),
      lost_timer_(context),
      delete_timer_(context),
      follower_(
          context, link.crashes,
          {options.settle_limit / kWaitPart, kReadPause, options.restore_time},
          {.on_all = [this](const auto& records) { TakeAll(records); },
           .on_changes = [this](const auto& records) { TakeChanges(records); },
           .on_read = [](const keyed_read&) {},
           .on_restored =
               [this](const auto& records) { TakeRestored(records); }}) {
  DeleteOutlived();
}

void crash_feed::Report(const endpoint_crash& crash) {
  const json value = {{"service", crash.service},
                      {"running", ContentsAsJson(crash.running)}};
  Write(std::string(kCrashPrefix) + crash.endpoint + "/" + self_, value.dump());
}

void crash_feed::Tell(const content_notice& notice) {
  const json value = {{"verdict", NameIn(kContentVerdictNames, notice.verdict)},
                      {"by", self_}};
  Write(std::string(kContentPrefix) + DigestText(notice.content), value.dump());
}

void crash_feed::Write(const std::string& key, const std::string& value) {
  unwritten_[key] = value;
  WriteNext();
}

/// The last key first: reports come before the verdicts on them.
void crash_feed::WriteNext() {
  if (writes_ || unwritten_.empty()) {
    return;
  }
  writes_ = true;
  const auto [key, value] = *unwritten_.rbegin();
  write_(
      key, value,
      [this, key = key, value = value,
       alive = std::weak_ptr<int>(alive_)](store_outcome outcome) {
        if (alive.expired()) {
          return;
        }
        const bool done = outcome == store_outcome::kDone;
        if (done) {
          Remember({key, value.empty() ? std::nullopt : std::optional(value)});
        }
        const auto written = unwritten_.find(key);
        if (done && written != unwritten_.end() && written->second == value) {
          unwritten_.erase(written);
        }
        const auto doublings = std::min(failures_, kMaxDoublings);
        failures_ = done ? 0 : failures_ + 1;
        WriteAfter(done ? milliseconds(0) : kRetryPause * (1U << doublings));
      });
}

void crash_feed::WriteAfter(milliseconds delay) {
  write_timer_.expires_after(delay);
  write_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      writes_ = false;
      WriteNext();
    }
  });
}

/// A full read repeats what is known, and its order is that of the keys: a
/// verdict follows the reports it is about.
void crash_feed::TakeAll(std::vector<keyed_record> records) {
  std::stable_partition(
      records.begin(), records.end(),
      [](const keyed_record& record) { return !VerdictKey(record.key); });
  for (const auto& record : records) {
    const auto known = known_.find(record.key);
    const bool is_known =
        known != known_.end() && known->second.value == record.value;
    Remember(record);
    if (!is_known) {
      TakeOne(record, crash_source::kHistory);
    }
  }
}

void crash_feed::TakeChanges(const std::vector<keyed_record>& records) {
  for (const auto& record : records) {
    Remember(record);
    TakeOne(record, crash_source::kOtherHost);
  }
}

/// The copy adds to what is known. Where it differs it is older, and what it
/// lost is written again.
void crash_feed::TakeRestored(const std::vector<keyed_record>& records) {
  for (auto& [key, record] : known_) {
    record.lost = true;
  }
  std::vector<keyed_record> taken;
  for (const auto& record : records) {
    const auto known = known_.find(record.key);
    if (known == known_.end() || known->second.value == record.value ||
        Clears(record)) {
      taken.push_back(record);
    }
  }
  TakeAll(std::move(taken));
  WriteLostOwn();
  lost_timer_.expires_after(kRewritePause + RandomBelow(kRewriteSpread));
  lost_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      WriteLostVerdicts();
    }
  });
}

bool crash_feed::IsOwn(const std::string& key,
                       const known_record& record) const {
  if (VerdictKey(key)) {
    return VerdictIn(record.value).by == self_;
  }
  return record.value && key.ends_with("/" + self_);
}

void crash_feed::WriteLostOwn() {
  for (const auto& [key, record] : known_) {
    if (record.lost && IsOwn(key, record)) {
      unwritten_.emplace(key, record.value.value_or(""));
    }
  }
  WriteNext();
}

/// Their writers may be gone. The trials of a verdict need one that is running.
void crash_feed::WriteLostVerdicts() {
  for (const auto& [key, record] : known_) {
    const auto content = VerdictKey(key);
    if (!record.lost || !content || unwritten_.contains(key)) {
      continue;
    }
    if (const auto verdict = VerdictIn(record.value).verdict) {
      Tell({*content, *verdict});
    } else {
      Write(key, "");
    }
  }
}

void crash_feed::TakeOne(const keyed_record& record, crash_source source) {
  const std::string_view key = record.key;
  if (const auto content = VerdictKey(key)) {
    TakeVerdict(*content, record.value, source);
    return;
  }
  if (!key.starts_with(kCrashPrefix) || !record.value) {
    return;
  }
  if (const auto crash =
          CrashIn(key.substr(kCrashPrefix.size()), *record.value)) {
    news_.on_crash(*crash, source);
  } else {
    log_.Write("crash_unreadable", {{"record", record.key}});
  }
}

/// One that cannot be read is as good as deleted. One of the past may be of an
/// earlier life of this host, whose trials are not known.
void crash_feed::TakeVerdict(request_digest content,
                             const std::optional<std::string>& value,
                             crash_source source) {
  const auto read = VerdictIn(value);
  const bool is_own = read.by == self_ && source != crash_source::kHistory;
  news_.on_verdict(
      content, read.verdict,
      is_own ? verdict_teller::kThisHost : verdict_teller::kOtherHost);
}

void crash_feed::Remember(const keyed_record& record) {
  const bool is_crash = record.key.starts_with(kCrashPrefix);
  known_[record.key] = {
      record.value,
      now_() + SpreadLife(is_crash ? kCrashRecordLife : kContentRecordLife)};
}

void crash_feed::DeleteOutlived() {
  const time_point now = now_();
  std::erase_if(known_, [now](const auto& one) {
    return !one.second.value && now >= one.second.outlived_at;
  });
  for (auto& [key, record] : known_) {
    if (now >= record.outlived_at) {
      record.outlived_at = now + kDeleteInterval;
      Write(key, "");
    }
  }
  delete_timer_.expires_after(kDeleteInterval);
  delete_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      DeleteOutlived();
    }
  });
}

}  // namespace slatestall
