#include "slatestall/node/demand_meter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

using std::chrono::seconds;

request_trace Trace(bool refused) {
  request_trace trace;
  trace.workspace = "w";
  trace.total = std::chrono::milliseconds{500};
  if (refused) {
    trace.error = error_kind::kLimitExceeded;
    return trace;
  }
  trace.usages.emplace_back();
  trace.usages.back().generated_tokens = 100;
  return trace;
}

class demand_meter_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(demand_meter_test);
  CPPUNIT_TEST(RefusedRequestsAreDemand);
  CPPUNIT_TEST(AnIdleWorkspaceIsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Shares are divided by demand. A workspace whose share is too small has
  // most requests refused; counted by what ran, it would never get more.
  void RefusedRequestsAreDemand() {
    auto now = time_point{};
    demand_meter meter(now);
    workspace_demand demand;
    for (int second = 0; second < 60; ++second) {
      for (int i = 0; i < 2; ++i) {
        meter.Note(Trace(false));
      }
      for (int i = 0; i < 6; ++i) {
        meter.Note(Trace(true));
      }
      now += seconds{1};
      demand = meter.Take(now).at("w");
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8, demand.requests_per_second, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(800, demand.tokens_per_second, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4, demand.concurrency, 0.01);
  }

  void AnIdleWorkspaceIsForgotten() {
    auto now = time_point{};
    demand_meter meter(now);
    meter.Note(Trace(false));
    std::size_t known = 1;
    for (int second = 0; second < 60; ++second) {
      now += seconds{1};
      known = meter.Take(now).size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, known);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(demand_meter_test);

}  // namespace
}  // namespace slatestall
