#include "slatestall/policy/stage_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "slatestall/policy/policy_test_world.h"

namespace slatestall {
namespace {

queued_call CallOf(const std::string& workspace, stage_ticket ticket,
                   milliseconds deadline, double weight, double cost) {
  queued_call call;
  call.request.ticket = ticket;
  call.request.workspace = workspace;
  call.request.priority = priority_class::kBatch;
  call.request.deadline = TestStart() + deadline;
  call.latest_start = call.request.deadline;
  call.weight = weight;
  call.cost = cost;
  return call;
}

class stage_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stage_queue_test);
  CPPUNIT_TEST(WorkspacesShareByWeightAndCost);
  CPPUNIT_TEST(OneWaitingCallAtATimeEarnsNoExtraTurns);
  CPPUNIT_TEST(EarliestDeadlineFirstWithinAWorkspace);
  CPPUNIT_TEST(WorkAheadOfADeadline);
  CPPUNIT_TEST(OverdueCallsLeaveOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WorkspacesShareByWeightAndCost() {
    CPPUNIT_ASSERT(rc::check("time is shared by weight", [] {
      const double weight = *rc::gen::inRange(1, 5);
      const double cost = *rc::gen::inRange(1, 5);
      stage_queue queue;
      for (stage_ticket ticket = 1; ticket <= 2000; ticket += 2) {
        queue.Push(CallOf("ws-a", ticket, milliseconds(1), weight, cost));
        queue.Push(CallOf("ws-b", ticket + 1, milliseconds(1), 1, 1));
      }
      double time_a = 0;
      double time_b = 0;
      for (int i = 0; i < 600; ++i) {
        const queued_call call = *queue.Pop(priority_class::kBatch);
        (call.request.workspace == "ws-a" ? time_a : time_b) += call.cost;
      }
      RC_ASSERT(std::abs(time_a / time_b - weight) < 0.15 * weight);
    }));
  }

  // A workspace whose calls are long keeps just one of them waiting. If its
  // turn were forgotten whenever its line is empty, it would get every second
  // call whatever they cost.
  void OneWaitingCallAtATimeEarnsNoExtraTurns() {
    stage_queue queue;
    stage_ticket ticket = 0;
    for (int i = 0; i < 200; ++i) {
      queue.Push(CallOf("ws-b", ++ticket, milliseconds(1), 1, 1));
    }
    queue.Push(CallOf("ws-a", ++ticket, milliseconds(1), 1, 9));
    int long_calls = 0;
    for (int i = 0; i < 100; ++i) {
      if (queue.Pop(priority_class::kBatch)->request.workspace == "ws-a") {
        ++long_calls;
        queue.Push(CallOf("ws-a", ++ticket, milliseconds(1), 1, 9));
      }
    }
    CPPUNIT_ASSERT(long_calls >= 9 && long_calls <= 12);
  }

  void EarliestDeadlineFirstWithinAWorkspace() {
    stage_queue queue;
    queue.Push(CallOf("ws-a", 1, milliseconds(300), 1, 1));
    queue.Push(CallOf("ws-a", 2, milliseconds(100), 1, 1));
    queue.Push(CallOf("ws-a", 3, milliseconds(200), 1, 1));
    std::vector<stage_ticket> order;
    while (const auto call = queue.Pop(priority_class::kBatch)) {
      order.push_back(call->request.ticket);
    }
    CPPUNIT_ASSERT((order == std::vector<stage_ticket>{2, 3, 1}));
  }

  // Shoppers are refused although they would be answered in time: long calls
  // with far deadlines fill the queue, and a new call that goes before them was
  // told to wait for all of them.
  void WorkAheadOfADeadline() {
    stage_queue queue;
    const auto before = [&queue](int deadline_ms) {
      return queue.WorkBefore(priority_class::kBatch,
                              TestStart() + milliseconds(deadline_ms));
    };
    queue.Push(CallOf("ws-a", 1, milliseconds(500), 1, 2));
    queue.Push(CallOf("ws-b", 2, milliseconds(500), 1, 3));
    queue.Push(CallOf("ws-a", 3, milliseconds(2000), 1, 10));
    CPPUNIT_ASSERT_EQUAL(0.0, before(400));
    CPPUNIT_ASSERT_EQUAL(5.0, before(1000));
    CPPUNIT_ASSERT_EQUAL(15.0, before(3000));
    queue.Remove(2);
    CPPUNIT_ASSERT_EQUAL(2.0, before(1000));
  }

  void OverdueCallsLeaveOnce() {
    stage_queue queue;
    queue.Push(CallOf("ws-a", 1, milliseconds(10), 1, 1));
    queue.Push(CallOf("ws-a", 2, milliseconds(20), 1, 1));
    const auto overdue = queue.PopOverdue(TestStart() + milliseconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overdue.size());
    CPPUNIT_ASSERT_EQUAL(stage_ticket{1}, overdue[0].request.ticket);
    CPPUNIT_ASSERT(!queue.Remove(1));
    CPPUNIT_ASSERT(queue.Remove(2));
    CPPUNIT_ASSERT(queue.Empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_queue_test);

}  // namespace
}  // namespace slatestall
