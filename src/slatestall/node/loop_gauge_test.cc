#include "slatestall/node/loop_gauge.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

class loop_gauge_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(loop_gauge_test);
  CPPUNIT_TEST(TellsTheLastAndTheLongestDelay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsTheLastAndTheLongestDelay() {
    loop_gauge gauge;
    const time_point due{std::chrono::hours(1)};
    gauge.Ticked(due, due + milliseconds(120));
    gauge.Ticked(due, due + milliseconds(3));
    CPPUNIT_ASSERT(gauge.LastDelay() == milliseconds(3));
    CPPUNIT_ASSERT(gauge.LongestDelay() == milliseconds(120));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, gauge.LateTicks());
    gauge.Ticked(due, due - milliseconds(1));
    CPPUNIT_ASSERT(gauge.LastDelay() == milliseconds(0));
    const std::string text = gauge.Metrics("control");
    CPPUNIT_ASSERT(text.find("slatestall_control_loop_delay_max_seconds "
                             "0.120000\n") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(loop_gauge_test);

}  // namespace
}  // namespace slatestall
