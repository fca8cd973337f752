#include "slatestall/dispatch/content_quarantine.h"

#include <algorithm>
#include <utility>

namespace slatestall {
namespace {

constexpr std::size_t kCrashesToQuarantine = 3;
/// Of those that no content explains which is quarantined already.
constexpr std::ptrdiff_t kLeastUnexplained = 2;
/// Reports of one crash come from all hosts that had calls there. Judged
/// sooner, endpoints that crash together would look like one content's doing.
constexpr milliseconds kReportTime{300};
/// With more suspects than this most are harmless: they have some time to be
/// served before the verdict.
constexpr std::ptrdiff_t kMostSuspects = 2;
constexpr milliseconds kSharedTime{1000};
/// A request that was served longer ago says little: its endpoints may run
/// other software by now.
constexpr milliseconds kServedLife{60'000};
constexpr milliseconds kCrashLife{600'000};
constexpr milliseconds kQuarantineLife{3'600'000};
/// Of a verdict that no host has reported. One that lost such a call does so
/// within a few seconds, unless it cannot reach the store.
constexpr milliseconds kUnreportedLife{30'000};
/// From a verdict to its first trial, which ends a mistaken one, and to the
/// second.
constexpr milliseconds kFirstTrial{30'000};
constexpr milliseconds kSecondTrial{600'000};
constexpr unsigned kMostTrials = 2;
/// First trial of a verdict on one of many suspects, before those two.
constexpr milliseconds kSharedTrial{2'000};
/// Endpoints whose crash is remembered.
constexpr std::size_t kMostCrashes = 1024;
/// Contents of served requests that are remembered; a newer one takes the place
/// of an older one with the same remainder.
constexpr std::size_t kServedPlaces = 4096;
/// Parts of prompts that were served of late are shared by sound requests. So
/// many crashes under one since then show that this is over.
constexpr std::size_t kCrashesSinceServed = 5;
/// Where one endpoint in so many crashed without a content, three that crashed
/// with it are no evidence.
constexpr std::size_t kChancePart = 2;

/// Whether an endpoint of the service crashed between those times.
template <typename Crash>
bool CrashedBetween(const Crash& crash, const std::string& service,
                    time_point from, time_point to) {
  return crash.is_timed && crash.service == service && crash.learnt >= from &&
         crash.learnt <= to;
}

}  // namespace

content_quarantine::content_quarantine(size_hook listed)
    : listed_(std::move(listed)), served_(kServedPlaces) {}

void content_quarantine::NoteServed(request_digest content, time_point now) {
  if (quarantined_.erase(content) > 0) {
    ForgetCrashesOf(content);
    notices_.push_back({content, content_verdict::kCleared});
    judged_at_.emplace(content, now);
  }
  served_[content % kServedPlaces] = {content, now};
}

void content_quarantine::NoteAnswer(const std::string& service,
                                    time_point now) {
  if (unanswered_.erase(service) == 0) {
    return;
  }
  for (auto& [endpoint, crash] : crashes_) {
    if (crash.service == service && !crash.answered) {
      crash.answered = now;
    }
  }
}

bool content_quarantine::WasServed(request_digest content,
                                   time_point now) const {
  const auto& last = served_[content % kServedPlaces];
  if (last.content != content || last.at == time_point{} ||
      now - last.at >= kServedLife) {
    return false;
  }
  return !IsOfPart(content) ||
         CrashesSince(content, last.at) < kCrashesSinceServed;
}

std::size_t content_quarantine::CrashesSince(request_digest content,
                                             time_point from) const {
  const auto crashes = CrashesOf(content);
  return static_cast<std::size_t>(std::count_if(
      crashes.begin(), crashes.end(),
      [from](const auto* crash) { return crash->learnt > from; }));
}

void content_quarantine::NoteCrash(const endpoint_crash& crash,
                                   crash_source source, time_point now) {
  Forget(now);
  const auto [entry, is_new] = crashes_.try_emplace(crash.endpoint);
  auto& known = entry->second;
  if (is_new) {
    known.service = crash.service;
    known.learnt = now;
    known.is_timed = source != crash_source::kHistory;
    unanswered_.insert(crash.service);
  }
  for (const auto content : crash.running) {
    if (source != crash_source::kOwnCalls && known.cleared.contains(content)) {
      continue;  // The report is older than the verdict.
    }
    known.running.insert(content);
    if (source == crash_source::kOwnCalls) {
      known.own.insert(content);
    }
    auto& endpoints = endpoints_of_[content];
    endpoints.insert(crash.endpoint);
    if (endpoints.size() >= kCrashesToQuarantine &&
        !quarantined_.contains(content)) {
      judged_at_.try_emplace(content, now + kReportTime);
    }
  }
}

void content_quarantine::NoteVerdict(request_digest content,
                                     std::optional<content_verdict> verdict,
                                     verdict_teller teller, time_point now) {
  if (verdict == content_verdict::kQuarantined) {
    if (WasServed(content, now)) {
      notices_.push_back({content, content_verdict::kCleared});
      judged_at_.emplace(content, now);
    } else {
      auto& known = quarantined_[content];
      known.until = now + kQuarantineLife;
      known.teller = teller;
      known.trial_at = now + (known.shared ? kSharedTrial : kFirstTrial);
    }
    return;
  }
  quarantined_.erase(content);
  ForgetCrashesOf(content);
}

bool content_quarantine::Refuses(request_digest content, time_point now) const {
  const auto found = quarantined_.find(content);
  return found != quarantined_.end() && now < found->second.until;
}

bool content_quarantine::TakeTrial(request_digest content, time_point now) {
  const auto found = quarantined_.find(content);
  if (found == quarantined_.end()) {
    return false;
  }
  auto& known = found->second;
  if (known.teller != verdict_teller::kThisHost || now < known.trial_at ||
      known.trials >= kMostTrials) {
    return false;
  }
  if (std::exchange(known.shared, false)) {
    known.trial_at = now + kFirstTrial;
    return true;
  }
  ++known.trials;
  known.trial_at = now + kSecondTrial;
  return true;
}

std::optional<time_point> content_quarantine::JudgesAt() const {
  const auto first = std::min_element(
      judged_at_.begin(), judged_at_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return first == judged_at_.end() ? std::nullopt
                                   : std::optional(first->second);
}

std::vector<content_notice> content_quarantine::Judge(time_point now) {
  for (auto due = judged_at_.begin(); due != judged_at_.end();) {
    const auto [content, at] = *due;
    if (at > now) {
      ++due;
      continue;
    }
    due = judged_at_.erase(due);
    const auto evidence = EvidenceAgainst(content);
    if (evidence.empty()) {
      continue;
    }
    const bool served = WasServed(content, now);
    // Most hosts have served none of a part that few requests share: a verdict
    // on it is for those that lost calls, and counts once it is reported.
    if (IsOfPart(content) && (served || !HasLost(content))) {
      continue;
    }
    const bool shared = IsShared(evidence, now);
    if (!served && shared) {
      const auto settled =
          SettledAt(content, evidence).value_or(time_point::max());
      if (now < settled) {
        judged_at_.emplace(content, std::min(now + kReportTime, settled));
        continue;
      }
    }
    const bool has_lost = HasLost(content);
    const bool tells = has_lost && !quarantined_.contains(content);
    if (served) {
      ForgetCrashesOf(content);
    } else {
      auto& known = quarantined_[content];
      known.shared = shared;
      known.until = std::max(
          known.until, now + (has_lost ? kQuarantineLife : kUnreportedLife));
    }
    if (tells) {
      notices_.push_back({content, served ? content_verdict::kCleared
                                          : content_verdict::kQuarantined});
    }
  }
  return std::exchange(notices_, {});
}

/// Three crashes of one service in a row, with nothing in between that makes
/// them likely without it, that had this content running. A request crashes
/// what runs one part of it; a crash elsewhere has another cause.
content_quarantine::crash_list content_quarantine::EvidenceAgainst(
    request_digest content) const {
  std::map<std::string, crash_list> by_service;
  for (const auto* crash : CrashesOf(content)) {
    auto& row = by_service[crash->service];
    row.push_back(crash);
    if (row.size() > kCrashesToQuarantine) {
      row.erase(row.begin());
    }
    if (row.size() < kCrashesToQuarantine) {
      continue;
    }
    if (std::count_if(row.begin(), row.end(), [&](const auto* one) {
          return IsOfPart(content) ? !IsExplained(*one, content)
                                   : !IsExplainedBetter(*one, content);
        }) < kLeastUnexplained) {
      continue;
    }
    const auto others = CrashesWithout(content, crash->service,
                                       row.front()->learnt - kReportTime,
                                       row.back()->learnt + kReportTime);
    if (others * kChancePart < listed_(crash->service) || others == 0) {
      return row;
    }
  }
  return {};
}

/// Whether other contents may as well have caused these crashes. Reports of
/// other hosts come late, so that this one may know one suspect of several: it
/// is never sure of the cause where the whole service went down.
bool content_quarantine::IsShared(const crash_list& crashes,
                                  time_point now) const {
  const auto& running = crashes.front()->running;
  const auto suspects =
      std::count_if(running.begin(), running.end(), [&](auto content) {
        return !WasServed(content, now) &&
               std::all_of(crashes.begin(), crashes.end(),
                           [content](const auto* crash) {
                             return crash->running.contains(content);
                           });
      });
  const auto& last = *crashes.back();
  if (last.answered) {
    const bool was_silent = *last.answered > last.learnt + kReportTime;
    return was_silent || suspects > kMostSuspects;
  }
  const auto crashed =
      std::count_if(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
        return CrashedBetween(entry.second, last.service,
                              crashes.front()->learnt - kReportTime,
                              last.learnt + kReportTime);
      });
  return suspects > 1 ||
         static_cast<std::size_t>(crashed) >= listed_(last.service);
}

/// When one of many suspects may be judged. While all endpoints of a service
/// are down none can be served, and nothing is lost by waiting, unless more
/// endpoints crash under it.
std::optional<time_point> content_quarantine::SettledAt(
    request_digest content, const crash_list& evidence) const {
  const auto& last = *evidence.back();
  if (last.answered) {
    return *last.answered + kSharedTime;
  }
  std::size_t more = 0;
  for (const auto* crash : CrashesOf(content)) {
    more += crash->learnt > last.learnt + kSharedTime ? 1 : 0;
    if (more == kCrashesToQuarantine) {
      return crash->learnt;
    }
  }
  return std::nullopt;
}

content_quarantine::crash_list content_quarantine::CrashesOf(
    request_digest content) const {
  crash_list crashes;
  const auto found = endpoints_of_.find(content);
  if (found == endpoints_of_.end()) {
    return crashes;
  }
  for (const auto& endpoint : found->second) {
    crashes.push_back(&crashes_.at(endpoint));
  }
  std::stable_sort(
      crashes.begin(), crashes.end(),
      [](const auto* a, const auto* b) { return a->learnt < b->learnt; });
  return crashes;
}

std::size_t content_quarantine::CrashesWithout(request_digest content,
                                               const std::string& service,
                                               time_point from,
                                               time_point to) const {
  const auto count =
      std::count_if(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
        const auto& crash = entry.second;
        return CrashedBetween(crash, service, from, to) &&
               !crash.running.contains(content) && !IsExplained(crash, content);
      });
  return static_cast<std::size_t>(count);
}

/// Something else that is quarantined already has crashed it.
bool content_quarantine::IsExplained(const known_crash& crash,
                                     request_digest besides) const {
  return std::any_of(
      quarantined_.begin(), quarantined_.end(), [&](const auto& one) {
        return one.first != besides && crash.running.contains(one.first);
      });
}

/// One of those has also crashed an endpoint without this content. Where both
/// ran at the same endpoints only, neither explains more than the other.
bool content_quarantine::IsExplainedBetter(const known_crash& crash,
                                           request_digest than) const {
  return std::any_of(
      quarantined_.begin(), quarantined_.end(), [&](const auto& one) {
        const auto content = one.first;
        if (content == than || !crash.running.contains(content)) {
          return false;
        }
        const auto all = CrashesOf(content);
        return std::any_of(all.begin(), all.end(), [&](const auto* other) {
          return other->service == crash.service &&
                 !other->running.contains(than);
        });
      });
}

bool content_quarantine::HasLost(request_digest content) const {
  const auto found = endpoints_of_.find(content);
  return found != endpoints_of_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& endpoint) {
                       return crashes_.at(endpoint).own.contains(content);
                     });
}

void content_quarantine::ForgetCrashesOf(request_digest content) {
  const auto found = endpoints_of_.find(content);
  if (found == endpoints_of_.end()) {
    return;
  }
  for (const auto& endpoint : found->second) {
    auto& crash = crashes_.at(endpoint);
    crash.running.erase(content);
    crash.own.erase(content);
    crash.cleared.insert(content);
  }
  endpoints_of_.erase(found);
}

void content_quarantine::Drop(
    std::map<std::string, known_crash>::iterator crash) {
  for (const auto content : crash->second.running) {
    const auto found = endpoints_of_.find(content);
    found->second.erase(crash->first);
    if (found->second.empty()) {
      endpoints_of_.erase(found);
    }
  }
  crashes_.erase(crash);
}

void content_quarantine::Forget(time_point now) {
  std::erase_if(quarantined_,
                [now](const auto& one) { return one.second.until <= now; });
  for (auto crash = crashes_.begin(); crash != crashes_.end();) {
    const auto next = std::next(crash);
    if (now - crash->second.learnt >= kCrashLife) {
      Drop(crash);
    }
    crash = next;
  }
  if (crashes_.size() >= kMostCrashes) {
    Drop(std::min_element(crashes_.begin(), crashes_.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.learnt < b.second.learnt;
                          }));
  }
}

}  // namespace slatestall
