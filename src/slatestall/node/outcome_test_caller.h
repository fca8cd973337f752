#pragma once

#include <cppunit/TestAssert.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/node/outcome_test_world.h"

namespace slatestall::outcome_test {

/// @brief One sending of a request and what became of it.
struct sending {
  keyed_request request;
  std::string host;
  host_id incarnation;
  time_point sent{};
  std::optional<claim_decision> decision;
  time_point decided{};
  int decisions = 0;
  bool dispatched = false;
  bool finished = false;
};

/// @brief What a request does once it may run.
struct run_plan {
  milliseconds before_dispatch{0};
  bool release = false;  ///< Ends before it dispatches anything.
  milliseconds work{10};
};

/// @brief Sends requests with keys to hosts, runs them there as the front
/// does, and keeps what the properties are about.
class test_caller {
 public:
  explicit test_caller(test_world& world) : world_(world) {}

  std::string Mint(const std::string& host, const std::string& workspace) {
    return world_.Guard(host).mint_key(workspace);
  }

  std::shared_ptr<sending> Send(const std::string& host,
                                const std::string& workspace,
                                const std::string& key, std::uint64_t body,
                                milliseconds deadline, run_plan plan) {
    auto sent = std::make_shared<sending>();
    sent->host = host;
    sent->incarnation = world_.IdOf(host);
    sent->sent = world_.Time().Now();
    sent->request.workspace = workspace;
    sent->request.key = key;
    sent->request.body_hash = body;
    sent->request.id.text =
        HostText(sent->incarnation) + ".0-" + std::to_string(next_++);
    sent->request.deadline = world_.Time().Now() + deadline;
    all_.push_back(sent);
    world_.OnHost(host, [this, sent, plan] {
      world_.Guard(sent->host)
          .begin(sent->request, [this, sent, plan](claim_decision decision) {
            if (!world_.IsDying(sent->host)) {
              Decided(sent, std::move(decision), plan);
            }
          });
    });
    return sent;
  }

  int Dispatches(const std::string& workspace, const std::string& key) const {
    const auto found = dispatches_.find(workspace + "/" + key);
    return found == dispatches_.end() ? 0 : found->second;
  }
  /// The outcome of the key's run, if it finished.
  std::optional<std::string> Outcome(const std::string& workspace,
                                     const std::string& key) const {
    const auto found = outcomes_.find(workspace + "/" + key);
    return found == outcomes_.end() ? std::nullopt
                                    : std::optional(found->second);
  }
  const std::vector<std::shared_ptr<sending>>& All() const { return all_; }

  /// Nothing ran twice; every "not run" is true; each sending got one answer;
  /// all replays are the same.
  std::string Violation() const {
    for (const auto& [key, count] : dispatches_) {
      if (count > 1) {
        return key + " was dispatched " + std::to_string(count) + " times";
      }
    }
    for (const auto& sent : all_) {
      const std::string problem = ViolationOf(*sent);
      if (!problem.empty()) {
        return sent->request.id.text + " for " + sent->request.key + ": " +
               problem;
      }
    }
    return "";
  }

 private:
  void Decided(const std::shared_ptr<sending>& sent, claim_decision decision,
               const run_plan& plan) {
    ++sent->decisions;
    sent->decided = world_.Time().Now();
    sent->decision = std::move(decision);
    if (sent->decision->verdict != claim_verdict::kRun) {
      return;
    }
    world_.Time().After(plan.before_dispatch, [this, sent, plan] {
      OnItsHost(sent, [this, sent, plan] { Run(sent, plan); });
    });
  }

  void Run(const std::shared_ptr<sending>& sent, const run_plan& plan) {
    outcome_guard& guard = world_.Guard(sent->host);
    if (plan.release || !guard.may_dispatch(sent->request)) {
      guard.release(sent->request);
      return;
    }
    sent->dispatched = true;
    const std::string key = sent->request.workspace + "/" + sent->request.key;
    ++dispatches_[key];
    world_.Time().After(plan.work, [this, sent, key] {
      OnItsHost(sent, [this, sent, key] {
        sent->finished = true;
        outcomes_[key] = "outcome of " + sent->request.id.text;
        world_.Guard(sent->host)
            .finish(sent->request, {200, "text/plain", outcomes_[key]});
      });
    });
  }

  void OnItsHost(const std::shared_ptr<sending>& sent,
                 const std::function<void()>& work) {
    if (world_.IsAlive(sent->host) &&
        world_.IdOf(sent->host) == sent->incarnation) {
      world_.OnHost(sent->host, work);
    }
  }

  std::string ViolationOf(const sending& sent) const {
    if (sent.decisions > 1) {
      return "decided more than once";
    }
    if (sent.decisions == 0) {
      return world_.WasKilled(sent.incarnation) ? "" : "never decided";
    }
    const claim_decision& decision = *sent.decision;
    const bool promises_not_run =
        decision.verdict == claim_verdict::kRefused &&
        AnswerFor(decision.refusal).may_have_run == ran::kNo;
    if (promises_not_run && sent.dispatched) {
      return "said not run but was dispatched";
    }
    if (decision.verdict != claim_verdict::kAnswered) {
      return "";
    }
    const auto outcome = Outcome(sent.request.workspace, sent.request.key);
    if (!outcome || *outcome != decision.outcome.body) {
      return "was given another outcome: " + decision.outcome.body;
    }
    return "";
  }

  test_world& world_;
  std::vector<std::shared_ptr<sending>> all_;
  std::map<std::string, int> dispatches_;
  std::map<std::string, std::string> outcomes_;
  std::uint64_t next_ = 0;
};

}  // namespace slatestall::outcome_test
