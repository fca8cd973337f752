#include "slatestall/policy/claim_tracker.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace slatestall {
namespace {

constexpr int kClaimPart = 2;  // A claim may take this part of the deadline.
constexpr int kFirstWaitPart = 3;  // Of that time, for the first question.
constexpr milliseconds kLongestEndPause{15'000};
constexpr milliseconds kRetryAfter{1000};

const char* const kNotKept =
    "the request has run and ended; its answer is not kept any more";
const char* const kHolderGone =
    "the host that held the key is gone; the request may have run";
const char* const kNotRunHere =
    "this request was not run; an earlier one with the same key may have been, "
    "so resend with the same key: ";

std::size_t BytesOf(const claim_outcome_ptr& outcome) {
  return outcome == nullptr ? 0 : outcome->body.size();
}

}  // namespace

claim_tracker::claim_tracker(claim_tracker_options options)
    : options_(options) {}

void claim_tracker::Begin(const claim_attempt& attempt, time_point deadline,
                          time_point now) {
  const std::string& request = attempt.request;
  if (closed_) {
    Refuse(request, error_kind::kDraining, "this host is draining");
    return;
  }
  const auto ended = ended_keys_.find(attempt.key);
  if (ended != ended_keys_.end()) {
    const claim_ending& ending = ends_.at(ended->second).ending;
    if (ending.body_hash != attempt.body_hash) {
      Refuse(request, error_kind::kKeyReused,
             "the key was first used with another body");
    } else {
      Decide(request, ending.outcome);
    }
    return;
  }
  if (keys_.size() + ends_.size() >= options_.max_open) {
    Refuse(request, error_kind::kClaimUnavailable,
           std::string(kNotRunHere) + "too many requests with keys in hand");
    return;
  }
  group& joined = groups_[attempt.key];
  const bool is_first = joined.members.empty();
  if (!is_first &&
      joined.members.front().attempt.body_hash != attempt.body_hash) {
    Refuse(request, error_kind::kKeyReused,
           "the key is in use with another body");
    return;
  }
  joined.members.push_back({attempt, deadline});
  keys_[request] = attempt.key;
  if (is_first) {
    Lead(joined, now);
  }
}

void claim_tracker::Lead(group& with, time_point now) {
  const duration left =
      std::max(with.members.front().deadline - now, duration::zero());
  with.at = stage::kAsking;
  with.asked = false;
  with.next_ask = now;
  with.claim_by = now + left / kClaimPart;
  with.may_be_claimed = false;
  with.seen_held = false;
  with.detail.clear();
}

std::vector<claim_ask> claim_tracker::TakeAsks(time_point now) {
  std::vector<claim_ask> asks;
  for (auto& [key, with] : groups_) {
    if (with.at != stage::kAsking || with.asked || now < with.next_ask) {
      continue;
    }
    const member& leader = with.members.front();
    const auto left =
        std::chrono::duration_cast<milliseconds>(leader.deadline - now);
    if (left <= options_.answer_margin) {
      continue;
    }
    // The first answer has to come while there is time to tell "held by
    // another request" from "nobody can tell".
    const auto first_wait = std::chrono::duration_cast<milliseconds>(
        (with.claim_by - now) / kFirstWaitPart);
    const milliseconds longest = with.seen_held ? left : first_wait;
    with.asked = true;
    asks.push_back({leader.attempt,
                    std::clamp(longest, milliseconds{0}, options_.ask_wait)});
  }
  return asks;
}

void claim_tracker::Answer(const std::string& request,
                           const claim_answer& answer, bool holder_gone,
                           time_point now) {
  const auto at = LedBy(request);
  if (at == groups_.end() || at->second.at != stage::kAsking) {
    return;
  }
  group& with = at->second;
  with.asked = false;
  with.may_be_claimed = with.may_be_claimed || answer.may_be_claimed;
  switch (answer.result) {
    case claim_result::kWon:
      Grant(at, now);
      return;
    case claim_result::kEnded:
      AnswerAll(at, answer.outcome);
      return;
    case claim_result::kHeld:
      with.seen_held = true;
      if (holder_gone) {
        RefuseAll(at, error_kind::kOutcomeUnknown, kHolderGone, now);
        return;
      }
      Retry(with, answer, now);
      return;
    case claim_result::kRefused:
      if (answer.refusal == error_kind::kClaimUnavailable) {
        Retry(with, answer, now);
        return;
      }
      RefuseLeader(at, answer.refusal, answer.detail, now);
      return;
  }
}

void claim_tracker::Grant(group_map::iterator at, time_point now) {
  group& with = at->second;
  const member& leader = with.members.front();
  with.may_be_claimed = true;
  // A host that was paused may get its claim after the deadline. Whoever sent
  // the request has gone by then, so it must not start.
  if (now + options_.answer_margin >= leader.deadline) {
    RefuseLeader(at, error_kind::kClaimUnavailable,
                 std::string(kNotRunHere) + "the claim came too late", now);
    return;
  }
  with.at = stage::kRunning;
  tracked_decision run;
  run.request = leader.attempt.request;
  run.verdict = tracked_verdict::kRun;
  run.deadline = leader.deadline;
  decisions_.push_back(std::move(run));
}

void claim_tracker::Retry(group& with, const claim_answer& answer,
                          time_point now) {
  with.next_ask = now + options_.ask_again;
  with.detail = answer.detail;
}

void claim_tracker::Finish(const std::string& request, claim_outcome outcome,
                           time_point now) {
  const auto at = LedBy(request);
  if (at == groups_.end() || at->second.at != stage::kRunning) {
    return;
  }
  claim_outcome_ptr kept;
  const bool fits =
      outcome.body.size() <= options_.max_outcome_bytes &&
      end_bytes_ + outcome.body.size() <= options_.max_pending_bytes;
  if (fits) {
    kept = std::make_shared<const claim_outcome>(std::move(outcome));
  }
  AddEnd(at->second.members.front(), false, kept, now);
  keys_.erase(request);
  at->second.members.pop_front();
  AnswerAll(at, kept);
}

void claim_tracker::Release(const std::string& request, time_point now) {
  const auto at = LedBy(request);
  if (at != groups_.end() && at->second.at == stage::kRunning) {
    DropLeader(at, now);
  }
}

void claim_tracker::DropLeader(group_map::iterator at, time_point now) {
  group& with = at->second;
  const member leader = with.members.front();
  with.members.pop_front();
  keys_.erase(leader.attempt.request);
  // A question without an answer may have been heard all the same. Were its
  // claim left behind, the key would stay held by a request that never runs.
  if (with.may_be_claimed || with.asked) {
    AddEnd(leader, true, nullptr, now);
  }
  if (with.members.empty()) {
    groups_.erase(at);
    return;
  }
  Lead(with, now);
}

void claim_tracker::RefuseLeader(group_map::iterator at, error_kind kind,
                                 const std::string& detail, time_point now) {
  Refuse(at->second.members.front().attempt.request, kind, detail);
  DropLeader(at, now);
}

void claim_tracker::AnswerAll(group_map::iterator at,
                              const claim_outcome_ptr& outcome) {
  for (const member& waiting : at->second.members) {
    Decide(waiting.attempt.request, outcome);
    keys_.erase(waiting.attempt.request);
  }
  groups_.erase(at);
}

void claim_tracker::RefuseAll(group_map::iterator at, error_kind kind,
                              const std::string& detail, time_point now) {
  if (at->second.may_be_claimed) {
    AddEnd(at->second.members.front(), true, nullptr, now);
  }
  for (const member& waiting : at->second.members) {
    Refuse(waiting.attempt.request, kind, detail);
    keys_.erase(waiting.attempt.request);
  }
  groups_.erase(at);
}

void claim_tracker::Decide(const std::string& request,
                           const claim_outcome_ptr& outcome) {
  if (outcome == nullptr) {
    Refuse(request, error_kind::kOutcomeUnknown, kNotKept);
    return;
  }
  tracked_decision answered;
  answered.request = request;
  answered.verdict = tracked_verdict::kAnswered;
  answered.outcome = outcome;
  decisions_.push_back(std::move(answered));
}

void claim_tracker::Refuse(const std::string& request, error_kind kind,
                           std::string detail) {
  tracked_decision refused;
  refused.request = request;
  refused.verdict = tracked_verdict::kRefused;
  refused.refusal = kind;
  refused.detail = std::move(detail);
  const bool again_helps = kind == error_kind::kClaimUnavailable ||
                           kind == error_kind::kRequestInProgress ||
                           kind == error_kind::kDraining;
  if (again_helps) {
    refused.retry_after = kRetryAfter;
  }
  decisions_.push_back(std::move(refused));
}

void claim_tracker::Tick(time_point now) {
  for (auto at = groups_.begin(); at != groups_.end();) {
    const auto next = std::next(at);
    RefuseLateWaiters(at->second, now);
    // The next member leads with a time of its own, which may be over too.
    while (TickLeader(at, now)) {
    }
    at = next;
  }
  for (auto at = ends_.begin(); at != ends_.end();) {
    const auto next = std::next(at);
    if (at->second.give_up <= now) {
      EndStored(at->first);
    }
    at = next;
  }
}

void claim_tracker::RefuseLateWaiters(group& with, time_point now) {
  const auto is_late = [&](const member& waiting) {
    if (now + options_.answer_margin < waiting.deadline) {
      return false;
    }
    Refuse(waiting.attempt.request, error_kind::kRequestInProgress,
           "another request with the key is in hand");
    keys_.erase(waiting.attempt.request);
    return true;
  };
  with.members.erase(
      std::remove_if(with.members.begin() + 1, with.members.end(), is_late),
      with.members.end());
}

// Ends the leader's part where its time is over. True where another member
// leads now.
bool claim_tracker::TickLeader(group_map::iterator at, time_point now) {
  group& with = at->second;
  const member& leader = with.members.front();
  const bool has_waiters = with.members.size() > 1;
  if (with.at == stage::kRunning) {
    if (leader.deadline + options_.run_grace <= now) {
      const std::string request = leader.attempt.request;
      AddEnd(leader, false, nullptr, now);
      keys_.erase(request);
      with.members.pop_front();
      AnswerAll(at, nullptr);
    }
    return false;
  }
  const bool deadline_near = now + options_.answer_margin >= leader.deadline;
  const bool claim_late = now >= with.claim_by && !with.seen_held;
  if (!deadline_near && !claim_late) {
    return false;
  }
  if (with.seen_held) {
    RefuseLeader(at, error_kind::kRequestInProgress,
                 "another request with the key is in hand", now);
  } else {
    RefuseLeader(at, error_kind::kClaimUnavailable, kNotRunHere + with.detail,
                 now);
  }
  return has_waiters;
}

void claim_tracker::AddEnd(const member& ended, bool released,
                           claim_outcome_ptr outcome, time_point now) {
  pending_end added;
  added.ending.key = ended.attempt.key;
  added.ending.body_hash = ended.attempt.body_hash;
  added.ending.request = ended.attempt.request;
  added.ending.released = released;
  added.ending.outcome = std::move(outcome);
  added.next_send = now;
  added.give_up =
      now + (released ? options_.release_lifetime : options_.end_lifetime);
  added.pause = options_.end_again;
  end_bytes_ += BytesOf(added.ending.outcome);
  if (!released) {
    ended_keys_[added.ending.key] = added.ending.request;
  }
  ends_[added.ending.request] = std::move(added);
}

std::vector<claim_ending> claim_tracker::TakeEnds(time_point now) {
  std::vector<claim_ending> due;
  for (auto& [request, pending] : ends_) {
    if (now < pending.next_send) {
      continue;
    }
    pending.next_send = now + pending.pause;
    pending.pause = std::min(pending.pause * 2, kLongestEndPause);
    due.push_back(pending.ending);
  }
  return due;
}

void claim_tracker::EndStored(const std::string& request) {
  const auto at = ends_.find(request);
  if (at == ends_.end()) {
    return;
  }
  const claim_ending& ending = at->second.ending;
  end_bytes_ -= BytesOf(ending.outcome);
  if (!ending.released) {
    ended_keys_.erase(ending.key);
  }
  ends_.erase(at);
}

claim_answer claim_tracker::Find(const claim_key& key) const {
  claim_answer answer;
  const auto ended = ended_keys_.find(key);
  if (ended != ended_keys_.end()) {
    answer.result = claim_result::kEnded;
    answer.outcome = ends_.at(ended->second).ending.outcome;
    return answer;
  }
  const auto at = groups_.find(key);
  if (at != groups_.end() && at->second.at == stage::kRunning) {
    answer.result = claim_result::kHeld;
    answer.holder = at->second.members.front().attempt.holder;
    return answer;
  }
  return RefusedClaim(error_kind::kNotFound, "not in hand on this host");
}

std::vector<tracked_decision> claim_tracker::TakeDecisions() {
  return std::exchange(decisions_, {});
}

claim_tracker::group_map::iterator claim_tracker::LedBy(
    const std::string& request) {
  const auto key = keys_.find(request);
  if (key == keys_.end()) {
    return groups_.end();
  }
  const auto at = groups_.find(key->second);
  const bool leads = at != groups_.end() && !at->second.members.empty() &&
                     at->second.members.front().attempt.request == request;
  return leads ? at : groups_.end();
}

}  // namespace slatestall
