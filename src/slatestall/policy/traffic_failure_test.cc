#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "slatestall/policy/attempt_budget.h"
#include "slatestall/policy/policy_test_world.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {
namespace {

class traffic_failure_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(traffic_failure_test);
  CPPUNIT_TEST(RefusedConnectionsTakeNoRetryBudget);
  CPPUNIT_TEST(RetryTakesAnEjectedEndpointWhereNoOtherIsLeft);
  CPPUNIT_TEST(OneUnknownLetterEjectsItsEndpoint);
  CPPUNIT_TEST(OneUnknownDraftEjectsItsEngine);
  CPPUNIT_TEST(FirstCallsAreHedgedByTheirDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The caller sees "overloaded" with most of its time left and idle endpoints
  // beside. Half of the endpoints are dead: each thread has to find out about
  // each of them, and every refused connection took from a budget that is
  // there to keep work from being repeated. Here the budget is spent by calls
  // that ran, and then a connection is refused.
  void RefusedConnectionsTakeNoRetryBudget() {
    policy_test_world world(6, 4);
    traffic_policy policy({.host_name = "entry-1", .retry_budget = 0});
    const time_point now = TestStart();
    policy.UseSnapshot(world.Publish(), now);
    stage_request call = world.Call(1, "reply", 0, now, milliseconds(60000));
    call.tried = {"pool-0"};
    for (int i = 0; i < static_cast<int>(attempt_budget::kInitial); ++i) {
      CPPUNIT_ASSERT(policy.PlanRetry(call, now).retry);
    }
    CPPUNIT_ASSERT(!policy.PlanRetry(call, now).retry);
    call.unreached = 1;
    call.is_free_retry = true;
    CPPUNIT_ASSERT(policy.PlanRetry(call, now).retry);
    call.tried = {"pool-0", "pool-1", "pool-2", "pool-3"};
    call.unreached = 4;
    CPPUNIT_ASSERT(policy.PlanRetry(call, now).retry);
    call.unreached = 0;
    CPPUNIT_ASSERT(!policy.PlanRetry(call, now).retry);
  }

  // The caller is told that its stage failed, with most of its time left. One
  // of two endpoints was ejected some moments ago, the other one fails the
  // call. A first call would still try the ejected one, since half of the
  // ejections are of endpoints that work again; a retry has to do the same.
  void RetryTakesAnEjectedEndpointWhereNoOtherIsLeft() {
    policy_test_world world(2);
    traffic_policy policy({.host_name = "entry-1"});
    const time_point now = TestStart();
    policy.UseSnapshot(world.Publish(), now);
    const auto call_of = [&](stage_ticket ticket) {
      return world.Call(ticket, "reply", 0, now, milliseconds(60000));
    };
    // Failures eject the one endpoint that may be ejected of two.
    for (stage_ticket ticket = 1; ticket <= 20; ++ticket) {
      const stage_request call = call_of(ticket);
      const stage_decision sent = policy.Plan(call, now);
      policy.Ended(
          policy_test_world::End(call, sent.address, attempt_end::kFailed,
                                 milliseconds(10)),
          now);
    }
    stage_request again = call_of(21);
    const std::string failing = policy.Plan(again, now).address;
    again.tried = {failing};
    again.is_retry = true;
    again.ticket = 22;
    CPPUNIT_ASSERT(policy.PlanRetry(again, now).retry);
    const stage_decision second = policy.Plan(again, now);
    CPPUNIT_ASSERT(second.verdict == stage_verdict::kDispatch);
    CPPUNIT_ASSERT(second.address != failing);
  }

  // Callers are told "outcome unknown" again and again: an endpoint whose calls
  // may not be repeated takes each one and drops the answer. Each such call is
  // lost to its caller, so the second one must not go there while others work.
  void OneUnknownLetterEjectsItsEndpoint() { OneFailureEjects(1, false); }

  // The same for billed drafts: their engines are repeatable, they are not.
  void OneUnknownDraftEjectsItsEngine() { OneFailureEjects(0, true); }

  // The caller sees its whole deadline pass while other endpoints are idle: the
  // first calls of a thread went to a hanging endpoint, and nothing was known
  // yet of how long an answer takes, so neither a hedge nor a timeout was set.
  void FirstCallsAreHedgedByTheirDeadline() {
    policy_test_world world(4);
    traffic_policy policy({.host_name = "entry-1"});
    const time_point now = TestStart();
    policy.UseSnapshot(world.Publish(), now);
    const stage_request first =
        world.Call(1, "reply", 0, now, milliseconds(2000));
    const stage_decision sent = policy.Plan(first, now);
    CPPUNIT_ASSERT(sent.hedge_after.has_value());
    CPPUNIT_ASSERT(*sent.hedge_after >= milliseconds(400));
    CPPUNIT_ASSERT(*sent.hedge_after <= milliseconds(600));
    const stage_request letter =
        world.Call(2, "reply", 1, now, milliseconds(2000));
    CPPUNIT_ASSERT(!policy.Plan(letter, now).hedge_after.has_value());
  }

 private:
  static void OneFailureEjects(std::size_t stage, bool at_most_once) {
    policy_test_world world(4);
    traffic_policy policy({.host_name = "entry-1"});
    time_point now = TestStart();
    policy.UseSnapshot(world.Publish(), now);
    std::string broken;
    for (stage_ticket i = 1; i <= 40; ++i) {
      now += milliseconds(20);
      const stage_request call =
          world.Call(i, "reply", stage, now, milliseconds(2000));
      const stage_decision sent = policy.Plan(call, now);
      CPPUNIT_ASSERT(sent.verdict == stage_verdict::kDispatch);
      CPPUNIT_ASSERT(i == 1 || sent.address != broken);
      const bool fails = i == 1;
      broken = fails ? sent.address : broken;
      attempt_report ended = policy_test_world::End(
          call, sent.address,
          fails ? attempt_end::kFailed : attempt_end::kAnswered,
          milliseconds(10));
      ended.at_most_once = at_most_once;
      policy.Ended(ended, now);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_failure_test);

}  // namespace
}  // namespace slatestall
