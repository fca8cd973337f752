#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/dispatch/content_quarantine.h"
#include "slatestall/dispatch/endpoint_crash.h"

// A model of hosts that share reports of crashes, for tests of the quarantine.
namespace slatestall {

inline constexpr std::size_t kListed = 18;  ///< Endpoints of the service.

inline time_point At(std::int64_t ms) {
  return time_point{} + std::chrono::hours(24) + milliseconds(ms);
}

inline content_quarantine Quarantine(std::size_t listed = kListed) {
  return content_quarantine([listed](const std::string&) { return listed; });
}

inline endpoint_crash Crash(int endpoint, std::vector<request_digest> running) {
  return {"i-" + std::to_string(endpoint), "s", std::move(running)};
}

/// Hosts that hear late of each other's reports; some join, some lose touch
/// for a while and read all of it afterwards.
class fleet {
 public:
  struct message {
    time_point written{};
    std::size_t from = 0;
    std::optional<endpoint_crash> crash;
    std::optional<content_notice> notice;
  };
  struct member {
    content_quarantine quarantine = Quarantine();
    time_point started{};
    std::size_t read = 0;  ///< Of the log.
    time_point parted_from{};
    time_point parted_until{};

    bool IsParted(time_point now) const {
      return now >= parted_from && now < parted_until;
    }
  };

  explicit fleet(std::size_t hosts) {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.emplace_back();
      hosts_.back().started = At(0);
    }
  }

  member& Host(std::size_t index) { return hosts_[index]; }
  std::size_t Size() const { return hosts_.size(); }

  /// A new host knows what was reported before it started.
  void Join(time_point now) {
    hosts_.emplace_back();
    hosts_.back().started = now;
    Read(hosts_.size() - 1, now, crash_source::kHistory, milliseconds(0));
  }

  /// All that can read do so, up to what is older than the delay.
  void Tick(time_point now, milliseconds delay) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const bool idles =
          hosts_[i].read == log_.size() && !hosts_[i].quarantine.JudgesAt();
      if (!idles && !hosts_[i].IsParted(now)) {
        Read(i, now, crash_source::kOtherHost, delay);
        Judge(i, now);
      }
    }
  }

  void Crash(std::size_t index, const endpoint_crash& crash, time_point now) {
    hosts_[index].quarantine.NoteCrash(crash, crash_source::kOwnCalls, now);
    outbox_.push_back({now, index, crash, std::nullopt});
    Flush(now);
  }

 private:
  void Judge(std::size_t index, time_point now) {
    for (const auto& notice : hosts_[index].quarantine.Judge(now)) {
      outbox_.push_back({now, index, std::nullopt, notice});
    }
    Flush(now);
  }

  /// What a parted host has to tell waits.
  void Flush(time_point now) {
    for (auto one = outbox_.begin(); one != outbox_.end();) {
      if (hosts_[one->from].IsParted(now)) {
        ++one;
        continue;
      }
      one->written = now;
      log_.push_back(*one);
      one = outbox_.erase(one);
    }
  }

  void Read(std::size_t index, time_point now, crash_source source,
            milliseconds delay) {
    auto& reader = hosts_[index];
    while (reader.read < log_.size() &&
           log_[reader.read].written + delay <= now) {
      const auto& next = log_[reader.read++];
      if (next.crash) {
        reader.quarantine.NoteCrash(*next.crash, source, now);
      } else {
        reader.quarantine.NoteVerdict(
            next.notice->content, next.notice->verdict,
            next.from == index ? verdict_teller::kThisHost
                               : verdict_teller::kOtherHost,
            now);
      }
    }
  }

  std::vector<member> hosts_;
  std::vector<message> log_;
  std::vector<message> outbox_;
};

inline constexpr milliseconds kStep{50};
/// All hosts in touch act within it.
inline constexpr milliseconds kSettle{3000};
/// Reports and verdicts take up to it from host to host.
inline constexpr int kLongestDelay = 1100;
inline constexpr std::size_t kMoreAllowed = 3;

}  // namespace slatestall
