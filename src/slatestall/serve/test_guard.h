#pragma once

#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "slatestall/serve/outcome_guard.h"

namespace slatestall {

/// @brief The claims of one process, in memory.
struct test_guard {
  std::map<std::string, stored_outcome> ended;
  std::vector<std::string> running;
  std::vector<std::string> released;
  bool dispatch_allowed = true;
  bool available = true;
  bool silent = false;     ///< Never tells its verdict.
  bool on_thread = false;  ///< Tells its verdicts on a thread of its own.
  std::vector<std::jthread> threads;
  std::function<void(claim_decision)> kept;
  std::size_t dispatches = 0;

  claim_decision Begin(const keyed_request& request) {
    claim_decision decision;
    if (!available) {
      decision.detail = "the log is down";
      return decision;
    }
    const std::string key = request.workspace + "/" + request.key;
    if (const auto found = ended.find(key); found != ended.end()) {
      decision.verdict = claim_verdict::kAnswered;
      decision.outcome = found->second;
      return decision;
    }
    decision.verdict = claim_verdict::kRun;
    running.push_back(key);
    return decision;
  }

  key_lookup Lookup(const std::string& workspace, const std::string& key) {
    const auto found = ended.find(workspace + "/" + key);
    if (found == ended.end()) {
      return {key_state::kNone, {}, ""};
    }
    return {key_state::kEnded, found->second, ""};
  }

  template <typename Verdict>
  void Tell(const std::function<void(Verdict)>& done, const Verdict& verdict) {
    if (!on_thread) {
      return done(verdict);
    }
    threads.emplace_back([done, verdict] { done(verdict); });
  }

  outcome_guard Hooks() {
    outcome_guard guard;
    guard.begin = [this](const keyed_request& request,
                         const std::function<void(claim_decision)>& done) {
      if (silent) {
        kept = done;
        return;
      }
      Tell(done, Begin(request));
    };
    guard.may_dispatch = [this](const keyed_request&) {
      ++dispatches;
      return dispatch_allowed;
    };
    guard.finish = [this](const keyed_request& request,
                          const stored_outcome& outcome) {
      ended[request.workspace + "/" + request.key] = outcome;
    };
    guard.release = [this](const keyed_request& request) {
      released.push_back(request.workspace + "/" + request.key);
    };
    guard.mint_key = [](const std::string& workspace) {
      return "minted-for-" + workspace;
    };
    guard.lookup = [this](const std::string& workspace, const std::string& key,
                          time_point,
                          const std::function<void(key_lookup)>& done) {
      Tell(done, Lookup(workspace, key));
    };
    return guard;
  }
};

}  // namespace slatestall
