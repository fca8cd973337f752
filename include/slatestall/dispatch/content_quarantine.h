#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_crash.h"
#include "slatestall/dispatch/request_digest.h"
#include "slatestall/model/name_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What hosts tell each other of requests with one content.
/// @ingroup dispatch
enum class content_verdict {
  kQuarantined,  ///< They crash endpoints.
  kCleared,      ///< One was served; endpoints crash for another reason.
};

inline constexpr name_table<content_verdict, 2> kContentVerdictNames{{
    {content_verdict::kQuarantined, "quarantined"},
    {content_verdict::kCleared, "cleared"},
}};

struct content_notice {
  request_digest content = 0;
  content_verdict verdict = content_verdict::kQuarantined;
};

/// @brief How a host learnt of a crash.
enum class crash_source {
  kOwnCalls,  ///< It cut calls of this host.
  kOtherHost,
  kHistory,  ///< It happened before this host followed the reports.
};

enum class verdict_teller { kThisHost, kOtherHost };

/// @brief Requests that crash the endpoints that run them.
///
/// All hosts report the endpoints that crashed and the contents of the calls
/// that were cut. A content is quarantined once three endpoints have crashed
/// under it, unless one such request has been served of late, or so many
/// endpoints crashed without it that chance explains those three. Where many
/// contents ran at all three they have a moment to be served before that, once
/// the service answers again, and an early trial after it.
///
/// Each host judges by all reports. A host that lost such a call itself also
/// reports its verdict; one that no host reports ends soon. A host that has
/// served such a request answers a quarantine by clearing the content. The host
/// whose verdict stands lets one request through after a while, and one more
/// much later: three crashes may still have been chance. Pure state; the time
/// comes in.
class content_quarantine {
 public:
  /// @param listed Endpoints of a service that are known.
  using size_hook = std::function<std::size_t(const std::string& service)>;

  explicit content_quarantine(size_hook listed);

  /// @brief An endpoint has answered such a request to the end.
  void NoteServed(request_digest content, time_point now);
  /// @brief An endpoint of the service has answered some call of this host.
  void NoteAnswer(const std::string& service, time_point now);
  void NoteCrash(const endpoint_crash& crash, crash_source source,
                 time_point now);
  /// @param verdict Nothing: what was told of it is withdrawn.
  /// @param teller Who told what stands now.
  void NoteVerdict(request_digest content,
                   std::optional<content_verdict> verdict,
                   verdict_teller teller, time_point now);

  bool Refuses(request_digest content, time_point now) const;
  /// @brief Whether one request of a quarantined content may go through now;
  /// it is the only one for a while.
  bool TakeTrial(request_digest content, time_point now);
  bool IsEmpty() const { return quarantined_.empty(); }

  /// @brief When `Judge` has something to do; nothing: with the next report.
  std::optional<time_point> JudgesAt() const;
  /// @returns what other hosts are to be told.
  std::vector<content_notice> Judge(time_point now);

 private:
  struct known_crash {
    std::string service;
    time_point learnt{};
    bool is_timed = true;  ///< `learnt` is about when it happened.
    std::optional<time_point> answered;  ///< When its service did after that.
    std::set<request_digest> running;
    std::set<request_digest> own;      ///< Of `running`: of this host's calls.
    std::set<request_digest> cleared;  ///< Ran there and did not crash it.
  };
  struct quarantined_content {
    time_point until{};
    verdict_teller teller = verdict_teller::kOtherHost;
    time_point trial_at{};  ///< Where this host is the teller.
    unsigned trials = 0;
    bool shared = false;  ///< Other contents may as well have been the cause.
  };
  struct served_content {
    request_digest content = 0;
    time_point at{};
  };
  using crash_list = std::vector<const known_crash*>;

  void Forget(time_point now);
  void Drop(std::map<std::string, known_crash>::iterator crash);
  void ForgetCrashesOf(request_digest content);
  crash_list CrashesOf(request_digest content) const;
  bool IsExplained(const known_crash& crash, request_digest besides) const;
  bool IsExplainedBetter(const known_crash& crash, request_digest than) const;
  std::size_t CrashesWithout(request_digest content, const std::string& service,
                             time_point from, time_point to) const;
  crash_list EvidenceAgainst(request_digest content) const;
  bool IsShared(const crash_list& crashes, time_point now) const;
  std::optional<time_point> SettledAt(request_digest content,
                                      const crash_list& evidence) const;
  bool WasServed(request_digest content, time_point now) const;
  std::size_t CrashesSince(request_digest content, time_point from) const;
  bool HasLost(request_digest content) const;

  size_hook listed_;
  std::map<std::string, known_crash> crashes_;  ///< By endpoint.
  std::set<std::string> unanswered_;  ///< Services silent since a crash.
  std::map<request_digest, std::set<std::string>> endpoints_of_;
  std::map<request_digest, time_point> judged_at_;
  std::map<request_digest, quarantined_content> quarantined_;
  std::vector<served_content> served_;
  std::vector<content_notice> notices_;
};

}  // namespace slatestall
