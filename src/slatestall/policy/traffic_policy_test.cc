#include "slatestall/policy/traffic_policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <sstream>

#include "slatestall/policy/attempt_budget.h"
#include "slatestall/policy/policy_test_world.h"

namespace slatestall {
namespace {

/// @brief One step of a random run; the fields are read as the kind needs.
struct script_step {
  int kind = 0;
  std::uint32_t pick = 0;
  std::uint32_t amount = 0;
};

constexpr int kStepKinds = 10;

rc::Gen<std::vector<script_step>> Scripts() {
  return rc::gen::container<std::vector<script_step>>(
      rc::gen::build<script_step>(
          rc::gen::set(&script_step::kind, rc::gen::inRange(0, kStepKinds)),
          rc::gen::set(&script_step::pick),
          rc::gen::set(&script_step::amount)));
}

/// @brief Runs a script against one policy, keeps its own account of every
/// ticket and checks the invariants at each step.
class script_run {
 public:
  explicit script_run(std::size_t endpoints)
      : world_(endpoints), policy_({.host_name = "entry-1", .lanes = 1}) {
    policy_.UseSnapshot(world_.Publish(), now_);
  }

  void Run(const std::vector<script_step>& script) {
    for (const script_step& step : script) {
      Step(step);
    }
  }

  /// @brief Lets every waiting call be decided and every sent one end.
  void Finish() {
    for (int i = 0; i < 2000 && !(waiting_.empty() && sent_.empty()); ++i) {
      now_ += milliseconds(10);
      if (!sent_.empty()) {
        End(sent_.begin(), attempt_end::kAnswered);
      }
      TakeReady();
    }
  }

  const std::string& Log() const { return log_; }
  std::size_t Waiting() const { return waiting_.size(); }
  std::size_t Sent() const { return sent_.size(); }
  std::map<std::string, std::uint32_t> InFlight() const {
    return policy_.InFlight();
  }

 private:
  struct sent_call {
    stage_request request;
    std::string address;
    time_point when{};
  };
  using sent_calls = std::multimap<stage_ticket, sent_call>;

  template <typename Calls>
  static auto Picked(Calls& calls, const script_step& step) {
    auto picked = calls.begin();
    std::advance(picked, static_cast<int>(step.pick % calls.size()));
    return picked;
  }

  void Step(const script_step& step) {
    switch (step.kind) {
      case 0:
      case 1:
      case 2:
        return Arrive(step);
      case 3:
      case 4:
        return EndOne(step, attempt_end::kAnswered);
      case 5:
        return EndOne(step, static_cast<attempt_end>(step.amount % 6));
      case 6:
        now_ += milliseconds(step.amount % 400);
        return TakeReady();
      case 7:
        return WithdrawOne(step);
      case 8:
        return ChangeEndpoints(step);
      default:
        return RetryOne(step);
    }
  }

  void Arrive(const script_step& step) {
    const milliseconds left(1 + step.amount % 3000);
    stage_request request =
        world_.Call(++last_ticket_, step.pick % 3 == 0 ? "draft" : "reply",
                    step.pick % 2, now_, left);
    Submit(request);
  }

  void Submit(const stage_request& request) {
    const stage_decision decision = policy_.Plan(request, now_);
    RC_ASSERT(decision.ticket == request.ticket);
    if (decision.verdict == stage_verdict::kWait) {
      RC_ASSERT(!request.is_hedge);
      RC_ASSERT(waiting_.emplace(request.ticket, request).second);
      Record(decision);
      return;
    }
    Take(request, decision);
  }

  void Take(const stage_request& request, const stage_decision& decision) {
    Record(decision);
    if (decision.verdict == stage_verdict::kRefuse) {
      RC_ASSERT(AnswerFor(decision.refusal).may_have_run == ran::kNo);
      return;
    }
    RC_ASSERT(decision.verdict == stage_verdict::kDispatch);
    RC_ASSERT(leaving_.count(decision.address) == 0);
    RC_ASSERT(std::count(request.tried.begin(), request.tried.end(),
                         decision.address) == 0);
    RC_ASSERT(decision.attempt_timeout > milliseconds(0));
    if (request.stage == 1) {
      RC_ASSERT(!decision.hedge_after.has_value());
    }
    sent_.emplace(request.ticket, sent_call{request, decision.address, now_});
  }

  void TakeReady() {
    for (const stage_decision& decision : policy_.TakeReady(now_)) {
      RC_ASSERT(decision.verdict != stage_verdict::kWait);
      const auto waiting = waiting_.find(decision.ticket);
      RC_ASSERT(waiting != waiting_.end());
      const stage_request request = waiting->second;
      waiting_.erase(waiting);
      Take(request, decision);
    }
    for (const auto& [ticket, request] : waiting_) {
      RC_ASSERT(request.deadline >= now_);
    }
  }

  void EndOne(const script_step& step, attempt_end end) {
    if (!sent_.empty()) {
      End(Picked(sent_, step), end);
      TakeReady();
    }
  }

  void End(sent_calls::iterator call, attempt_end end) {
    const sent_call ended = call->second;
    sent_.erase(call);
    policy_.Ended(policy_test_world::End(ended.request, ended.address, end,
                                         now_ - ended.when + milliseconds(5)),
                  now_);
    if (end == attempt_end::kFailed || end == attempt_end::kTimedOut) {
      failed_.push_back(ended);
    }
  }

  void RetryOne(const script_step& step) {
    if (failed_.empty()) {
      return;
    }
    const sent_call failed = failed_[step.pick % failed_.size()];
    stage_request request = failed.request;
    request.tried.push_back(failed.address);
    request.is_retry = true;
    const retry_decision decision = policy_.PlanRetry(request, now_);
    log_ += decision.reason;
    RC_ASSERT(decision.too_late || now_ < request.deadline ||
              decision.reason == "no attempt is left");
    if (!decision.retry) {
      return;
    }
    RC_ASSERT(!decision.too_late);
    RC_ASSERT(now_ + decision.after < request.deadline);
    request.ticket = ++last_ticket_;
    Submit(request);
  }

  void WithdrawOne(const script_step& step) {
    if (!waiting_.empty()) {
      const auto call = Picked(waiting_, step);
      policy_.Withdraw(call->first);
      waiting_.erase(call);
    }
  }

  void ChangeEndpoints(const script_step& step) {
    std::vector<endpoint_view>& pool = world_.Pool();
    endpoint_view& changed = pool[step.pick % pool.size()];
    changed.leaving = step.amount % 2 == 0;
    changed.load.received = now_;
    changed.load.running = step.amount % 5;
    changed.load.slots = 2;
    leaving_.erase(changed.where.address);
    if (changed.leaving) {
      leaving_.insert(changed.where.address);
    }
    policy_.UseSnapshot(world_.Publish(), now_);
    TakeReady();
  }

  void Record(const stage_decision& decision) {
    std::ostringstream line;
    line << decision.ticket << ' ' << static_cast<int>(decision.verdict) << ' '
         << decision.address << ' ' << decision.attempt_timeout.count() << ' '
         << decision.hedge_after.value_or(milliseconds(0)).count() << ' '
         << decision.retry_after.count() << ' ' << decision.reason << '\n';
    log_ += line.str();
  }

  time_point now_ = TestStart();
  policy_test_world world_;
  traffic_policy policy_;
  stage_ticket last_ticket_ = 0;
  std::map<stage_ticket, stage_request> waiting_;
  sent_calls sent_;
  std::vector<sent_call> failed_;
  std::set<std::string> leaving_;
  std::string log_;
};

std::size_t EndpointCount() { return *rc::gen::inRange<std::size_t>(1, 12); }

class traffic_policy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(traffic_policy_test);
  CPPUNIT_TEST(SameCallsGiveSameDecisions);
  CPPUNIT_TEST(EveryTicketIsDecidedOnce);
  CPPUNIT_TEST(RetriesStayWithinTheirBudget);
  CPPUNIT_TEST(HedgesNeverWaitAndStayWithinTheirBudget);
  CPPUNIT_TEST(TakesBackWhatAnEngineHasNotBegunInTime);
  CPPUNIT_TEST(NothingRunsWithoutAConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameCallsGiveSameDecisions() {
    CPPUNIT_ASSERT(rc::check("same calls, same decisions", [] {
      const std::size_t endpoints = EndpointCount();
      const auto script = *Scripts();
      script_run first(endpoints);
      script_run second(endpoints);
      first.Run(script);
      second.Run(script);
      RC_ASSERT(first.Log() == second.Log());
    }));
  }

  // The caller sees a request that never ends, or one that is sent twice.
  // Calls arrive, wait, are withdrawn, sent and ended in any order while
  // endpoints come and go. Each ticket must get one decision that is not
  // "wait", and every count must be back at zero when all have ended;
  // otherwise capacity leaks until nothing is sent any more.
  void EveryTicketIsDecidedOnce() {
    CPPUNIT_ASSERT(rc::check("tickets are neither lost nor doubled", [] {
      script_run run(EndpointCount());
      run.Run(*Scripts());
      run.Finish();
      RC_ASSERT(run.Waiting() == 0U);
      RC_ASSERT(run.Sent() == 0U);
      RC_ASSERT(run.InFlight().empty());
    }));
  }

  // Callers see an overload that does not end: failed calls are sent again,
  // which keeps the endpoints too busy to answer the first ones. Here every
  // call fails and asks for a retry while its deadline is far; the number of
  // retries must stay a fixed share of first attempts.
  void RetriesStayWithinTheirBudget() {
    CPPUNIT_ASSERT(rc::check("retries stay within their budget", [] {
      const int calls = *rc::gen::inRange(1, 400);
      const double share = *rc::gen::inRange(0, 50) / 100.0;
      policy_test_world world(6, 4);
      traffic_policy policy({.host_name = "entry-1", .retry_budget = share});
      time_point now = TestStart();
      policy.UseSnapshot(world.Publish(), now);
      int retries = 0;
      for (int i = 1; i <= calls; ++i) {
        now += milliseconds(100);
        stage_request call = world.Call(static_cast<stage_ticket>(i), "reply",
                                        0, now, milliseconds(60000));
        const stage_decision sent = policy.Plan(call, now);
        RC_ASSERT(sent.verdict == stage_verdict::kDispatch);
        policy.Ended(
            policy_test_world::End(call, sent.address, attempt_end::kFailed,
                                   milliseconds(1)),
            now);
        call.tried.push_back(sent.address);
        retries += policy.PlanRetry(call, now).retry ? 1 : 0;
      }
      RC_ASSERT(retries <= attempt_budget::kInitial + share * calls + 1e-6);
      RC_ASSERT(retries >= std::min<double>(calls, share * calls) - 1);
    }));
  }

  void HedgesNeverWaitAndStayWithinTheirBudget() {
    policy_test_world world(4, 1);
    traffic_policy policy({.host_name = "entry-1", .hedge_budget = 0.05});
    time_point now = TestStart();
    policy.UseSnapshot(world.Publish(), now);
    int hedges = 0;
    constexpr int kCalls = 400;
    for (int i = 1; i <= kCalls; ++i) {
      const stage_request call =
          world.Call(i, "reply", 0, now, milliseconds(2000));
      const stage_decision sent = policy.Plan(call, now);
      CPPUNIT_ASSERT(sent.verdict == stage_verdict::kDispatch);
      stage_request hedge = call;
      hedge.is_hedge = true;
      hedge.tried.push_back(sent.address);
      const stage_decision second = policy.Plan(hedge, now);
      CPPUNIT_ASSERT(second.verdict != stage_verdict::kWait);
      now += milliseconds(20);
      if (second.verdict == stage_verdict::kDispatch) {
        ++hedges;
        CPPUNIT_ASSERT(second.address != sent.address);
        policy.Ended(
            policy_test_world::End(hedge, second.address,
                                   attempt_end::kCancelled, milliseconds(1)),
            now);
      }
      policy.Ended(
          policy_test_world::End(call, sent.address, attempt_end::kAnswered,
                                 milliseconds(20)),
          now);
    }
    CPPUNIT_ASSERT(hedges > 0);
    CPPUNIT_ASSERT(hedges <= attempt_budget::kInitial + kCalls * 0.05);
  }

  // Callers see fewer answers than the engines could give. A draft waits inside
  // a full engine behind shoppers, begins when too little is left, runs for
  // seconds and is cut off at its deadline. The engine cannot know; the host
  // must take the call back while it has cost nothing.
  void TakesBackWhatAnEngineHasNotBegunInTime() {
    policy_test_world world(4, 4);
    world.Next().services["pool"].config.kind = service_kind::kEngine;
    traffic_policy policy({.host_name = "entry-1"});
    time_point now = TestStart();
    policy.UseSnapshot(world.Publish(), now);
    stage_decision sent;
    for (int i = 1; i <= 40; ++i) {
      const stage_request call =
          world.Call(i, "draft", 0, now, milliseconds(1000));
      sent = policy.Plan(call, now);
      CPPUNIT_ASSERT(sent.verdict == stage_verdict::kDispatch);
      now += milliseconds(400);
      attempt_report end = policy_test_world::End(
          call, sent.address, attempt_end::kAnswered, milliseconds(400));
      end.first_byte = milliseconds(100);
      policy.Ended(end, now);
    }
    // 300 ms follow the first byte; a bucket of the histogram is 18 % wide.
    CPPUNIT_ASSERT(sent.first_byte_timeout.has_value());
    CPPUNIT_ASSERT(*sent.first_byte_timeout >= milliseconds(640));
    CPPUNIT_ASSERT(*sent.first_byte_timeout <= milliseconds(760));
  }

  void NothingRunsWithoutAConfiguration() {
    traffic_policy policy({.host_name = "entry-1"});
    policy_test_world world(1);
    const admission refused = policy.Admit(
        {"ws-a", &world.Pipeline("reply"), TestStart() + milliseconds(500)},
        TestStart());
    CPPUNIT_ASSERT(!refused.admitted);
    CPPUNIT_ASSERT(refused.refusal == error_kind::kNoConfiguration);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_policy_test);

}  // namespace
}  // namespace slatestall
