#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/time.h"
#include "slatestall/policy/claim_types.h"

namespace slatestall {

/// @brief Bounds and intervals of `claim_tracker`.
/// @ingroup policy
struct claim_tracker_options {
  std::size_t max_open = 10'000;  ///< Requests in hand and endings not stored.
  std::size_t max_outcome_bytes = std::size_t{32} << 10U;  ///< Of one body.
  std::size_t max_pending_bytes = std::size_t{16} << 20U;  ///< Not yet stored.
  milliseconds ask_wait{1000};     ///< One question waits this long.
  milliseconds ask_again{50};      ///< After an answer that settled nothing.
  milliseconds answer_margin{20};  ///< Answers come this long before deadlines.
  milliseconds end_again{5000};    ///< Endings are sent again after this.
  milliseconds end_lifetime{std::chrono::hours{6}};  ///< And given up then.
  /// Releases are given up earlier: this much before the log forgets a key,
  /// a late one could free it for a second run.
  milliseconds release_lifetime{std::chrono::hours{2}};
  milliseconds run_grace{300'000};  ///< A run without an end is given up then.
};

enum class tracked_verdict { kRun, kAnswered, kRefused };

/// @brief What a request of this host is told; each is told once.
struct tracked_decision {
  std::string request;
  tracked_verdict verdict = tracked_verdict::kRefused;
  claim_outcome_ptr outcome;                           ///< `kAnswered`.
  error_kind refusal = error_kind::kClaimUnavailable;  ///< `kRefused`.
  std::string detail;
  milliseconds retry_after{0};  ///< `kRefused`; 0: no use.
  time_point deadline{};        ///< `kRun`: no dispatch after it.
};

/// @brief A question to the authority over a key: its home or its writer.
struct claim_ask {
  claim_attempt attempt;
  milliseconds wait{0};  ///< How long to wait for a holder to end.
};

/// @brief The requests with keys that this host has in hand. Of those with the
/// same key one asks the authority; the others wait here for its outcome.
class claim_tracker {
 public:
  explicit claim_tracker(claim_tracker_options options);

  void Begin(const claim_attempt& attempt, time_point deadline, time_point now);
  /// @brief The authority's answer to the last question of `request`.
  /// @param holder_gone `kHeld`: the holder's incarnation is known to be gone.
  void Answer(const std::string& request, const claim_answer& answer,
              bool holder_gone, time_point now);
  void Finish(const std::string& request, claim_outcome outcome,
              time_point now);
  void Release(const std::string& request, time_point now);
  /// @brief The authority has stored the ending of `request`, or never will.
  void EndStored(const std::string& request);
  /// @brief Refuses every new request as draining.
  void Close() { closed_ = true; }
  void Tick(time_point now);

  std::vector<claim_ask> TakeAsks(time_point now);
  std::vector<tracked_decision> TakeDecisions();
  /// @brief Endings to send now; each comes again until it is stored.
  std::vector<claim_ending> TakeEnds(time_point now);

  /// @brief What is known here of a key: `kHeld`, `kEnded`, or `kRefused` with
  /// `kNotFound`.
  claim_answer Find(const claim_key& key) const;

  std::size_t Open() const { return keys_.size(); }
  std::size_t EndsPending() const { return ends_.size(); }
  bool IsIdle() const { return keys_.empty() && ends_.empty(); }

 private:
  struct member {
    claim_attempt attempt;
    time_point deadline;
  };

  enum class stage { kAsking, kRunning };

  /// The requests with one key; the first one asks or runs.
  struct group {
    std::deque<member> members;
    stage at = stage::kAsking;
    bool asked = false;  ///< A question is under way.
    time_point next_ask{};
    time_point claim_by{};  ///< A run needs the time after it.
    bool may_be_claimed = false;
    bool seen_held = false;
    std::string detail;  ///< Of the last refusal.
  };

  struct pending_end {
    claim_ending ending;
    time_point next_send{};
    time_point give_up{};
    milliseconds pause{0};
  };

  using group_map = std::map<claim_key, group>;

  void Lead(group& with, time_point now);
  void Grant(group_map::iterator at, time_point now);
  /// Ends the first member's part; the next one leads.
  void DropLeader(group_map::iterator at, time_point now);
  void AnswerAll(group_map::iterator at, const claim_outcome_ptr& outcome);
  void RefuseAll(group_map::iterator at, error_kind kind,
                 const std::string& detail, time_point now);
  void Refuse(const std::string& request, error_kind kind, std::string detail);
  void Retry(group& with, const claim_answer& answer, time_point now);
  void RefuseLeader(group_map::iterator at, error_kind kind,
                    const std::string& detail, time_point now);
  void RefuseLateWaiters(group& with, time_point now);
  bool TickLeader(group_map::iterator at, time_point now);
  void AddEnd(const member& ended, bool released, claim_outcome_ptr outcome,
              time_point now);
  void Decide(const std::string& request, const claim_outcome_ptr& outcome);
  group_map::iterator LedBy(const std::string& request);

  claim_tracker_options options_;
  group_map groups_;
  std::map<std::string, claim_key> keys_;  ///< Open requests.
  std::map<std::string, pending_end> ends_;
  std::map<claim_key, std::string> ended_keys_;  ///< Into `ends_`.
  std::size_t end_bytes_ = 0;
  std::vector<tracked_decision> decisions_;
  bool closed_ = false;
};

}  // namespace slatestall
