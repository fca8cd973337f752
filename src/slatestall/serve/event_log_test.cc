#include "slatestall/serve/event_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace slatestall {
namespace {

constexpr std::uint32_t kMaxPerSecond = 2;

class event_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_log_test);
  CPPUNIT_TEST(CountsWhatAFloodCosts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A fault hits every request. The log keeps the first events of each second
  // and says how many it dropped; what is not logged at all is not counted.
  void CountsWhatAFloodCosts() {
    ConfigureLog("error");
    time_point now{std::chrono::hours(1)};
    event_log log([&now] { return now; }, kMaxPerSecond);
    log_event event;
    event.severity = log_severity::kError;
    event.message = "of a test";
    for (int i = 0; i < 5; ++i) {
      log.Write(event);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, log.Dropped());
    now += std::chrono::seconds(1);
    log.Write(event);
    event.severity = log_severity::kInfo;
    for (int i = 0; i < 5; ++i) {
      log.Write(event);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, log.Dropped());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_log_test);

}  // namespace
}  // namespace slatestall
