#include "slatestall/policy/class_usage.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>

#include "slatestall/policy/policy_test_world.h"
#include "slatestall/policy/seconds.h"
#include "slatestall/policy/workspace_admission.h"

namespace slatestall {
namespace {

struct class_demand {
  priority_class priority;
  milliseconds run_time;
};

/// @brief Both classes always want to start; returns the share of used time
/// that batch calls got.
double BatchShareUnderFullDemand(double capacity, milliseconds interactive_run,
                                 milliseconds batch_run) {
  class_usage usage(0.2);
  std::multimap<time_point, priority_class> ends;
  std::array<double, kPriorityClasses> used{};
  const std::array<class_demand, 2> demands{
      {{priority_class::kInteractive, interactive_run},
       {priority_class::kBatch, batch_run}}};
  const time_point end = TestStart() + std::chrono::seconds(200);
  for (time_point now = TestStart(); now < end; now += milliseconds(5)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      usage.Stop(ends.begin()->second, now);
      ends.erase(ends.begin());
    }
    usage.Want(priority_class::kInteractive, now);
    usage.Want(priority_class::kBatch, now);
    const bool batch_first = usage.BatchBelowFloor(now);
    for (int turn = 0; turn < 2; ++turn) {
      const class_demand& demand = demands[(turn == 0) == batch_first ? 1 : 0];
      while (usage.MayStart(demand.priority, capacity, now)) {
        usage.Start(demand.priority, now);
        used[IndexOf(demand.priority)] += Seconds(demand.run_time);
        ends.emplace(now + demand.run_time, demand.priority);
      }
    }
    RC_ASSERT(usage.Total() <= capacity + 1e-6);
  }
  return used[1] / (used[0] + used[1]);
}

class class_usage_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(class_usage_test);
  CPPUNIT_TEST(NeitherClassStarvesTheOther);
  CPPUNIT_TEST(RateHoldsOverAllLanes);
  CPPUNIT_TEST(UnusedRateOfOneClassFlowsToTheOther);
  CPPUNIT_TEST(FractionalConcurrencyHoldsOverTime);
  CPPUNIT_TEST(TokensAreSettled);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Shoppers see no reply while large drafts run, or owners see drafts that
  // never start while shoppers are many. Both classes always have calls
  // waiting and drafts run up to 100 times longer. Batch calls must get about
  // their floor of the time and interactive calls the rest.
  void NeitherClassStarvesTheOther() {
    CPPUNIT_ASSERT(rc::check("batch gets its floor, not more", [] {
      const double capacity = *rc::gen::inRange(1, 24);
      const milliseconds interactive(*rc::gen::inRange(20, 400));
      const milliseconds batch(*rc::gen::inRange(200, 3000));
      const double share =
          BatchShareUnderFullDemand(capacity, interactive, batch);
      RC_ASSERT(share > 0.12);
      RC_ASSERT(share < 0.40);
    }));
  }

  void RateHoldsOverAllLanes() {
    CPPUNIT_ASSERT(rc::check("requests per second hold within 10 %", [] {
      const std::uint32_t lanes = *rc::gen::inRange<std::uint32_t>(1, 9);
      const double limit = *rc::gen::inRange(1, 200);
      const int seconds = 200;
      std::deque<workspace_admission> admissions;
      for (std::uint32_t i = 0; i < lanes; ++i) {
        admissions.emplace_back(lanes, 0.2);
        admissions.back().UseShares({{"ws", {.requests_per_second = limit}}},
                                    TestStart());
      }
      int admitted = 0;
      std::size_t turn = 0;
      for (time_point now = TestStart();
           now < TestStart() + std::chrono::seconds(seconds);
           now += milliseconds(2)) {
        const auto priority = static_cast<priority_class>(turn / lanes % 2);
        workspace_admission& lane = admissions[turn++ % lanes];
        if (lane.Admit("ws", priority, 0, now).admitted) {
          ++admitted;
          lane.Release("ws", priority, 0, now);
        }
      }
      const double offered = seconds * 500.0;
      const double allowed = std::min(offered, limit * seconds);
      // A lane may spend one burst of each class at the start.
      RC_ASSERT(admitted <= allowed * 1.1 + 2.0 * lanes);
      RC_ASSERT(admitted >= allowed * 0.9);
    }));
  }

  void UnusedRateOfOneClassFlowsToTheOther() {
    workspace_admission admissions(1, 0.2);
    admissions.UseShares({{"ws", {.requests_per_second = 10}}}, TestStart());
    int admitted = 0;
    for (int i = 0; i < 10000; ++i) {
      const time_point now = TestStart() + milliseconds(10 * i);
      if (admissions.Admit("ws", priority_class::kBatch, 0, now).admitted) {
        ++admitted;
        admissions.Release("ws", priority_class::kBatch, 0, now);
      }
    }
    CPPUNIT_ASSERT(admitted >= 950 && admitted <= 1050);
  }

  // A limit of 4 over 9 hosts with 2 threads each leaves 0.22 a thread. Were
  // it rounded up, 18 requests would run where 4 are paid for; rounded down,
  // none.
  void FractionalConcurrencyHoldsOverTime() {
    CPPUNIT_ASSERT(rc::check("concurrency holds within 10 %", [] {
      const double limit = *rc::gen::inRange(10, 500) / 100.0;
      workspace_admission admissions(1, 0.2);
      admissions.UseShares({{"ws", {.concurrency = limit}}}, TestStart());
      std::multimap<time_point, int> ends;
      const milliseconds run_time(*rc::gen::inRange(50, 1500));
      double used = 0;
      const int seconds = 300;
      for (time_point now = TestStart();
           now < TestStart() + std::chrono::seconds(seconds);
           now += milliseconds(5)) {
        while (!ends.empty() && ends.begin()->first <= now) {
          admissions.Release("ws", priority_class::kInteractive, 0, now);
          ends.erase(ends.begin());
        }
        while (admissions.Admit("ws", priority_class::kInteractive, 0, now)
                   .admitted) {
          ends.emplace(now + run_time, 0);
          used += Seconds(run_time);
        }
      }
      RC_ASSERT(used / seconds <= limit * 1.1);
      RC_ASSERT(used / seconds >= limit * 0.85);
    }));
  }

  void TokensAreSettled() {
    workspace_admission admissions(1, 0.2);
    admissions.UseShares({{"ws", {.tokens_per_second = 1000}}}, TestStart());
    double made = 0;
    for (int i = 0; i < 20000; ++i) {
      const time_point now = TestStart() + milliseconds(10 * i);
      if (admissions.Admit("ws", priority_class::kInteractive, 100, now)
              .admitted) {
        // Three times what was expected, and known only afterwards.
        admissions.Release("ws", priority_class::kInteractive, 300, now);
        made += 300;
      }
    }
    CPPUNIT_ASSERT(made >= 200 * 1000 * 0.9 && made <= 200 * 1000 * 1.1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(class_usage_test);

}  // namespace
}  // namespace slatestall
