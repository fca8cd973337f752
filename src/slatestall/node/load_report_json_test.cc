#include "slatestall/node/load_report_json.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace slatestall {
namespace {

const time_point kAsked{std::chrono::hours(1)};

class load_report_json_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_report_json_test);
  CPPUNIT_TEST(AReportThatIsNestedDeeplyIsNone);
  CPPUNIT_TEST(CacheEventsArePassedOnAsTheyStand);
  CPPUNIT_TEST_SUITE_END();

  // One answer of an endpoint ended the host: its text was made by recursion.
  void AReportThatIsNestedDeeplyIsNone() {
    constexpr std::size_t kDepth = 200'000;
    const auto body = R"({"running":1,"cache":)" + std::string(kDepth, '[') +
                      std::string(kDepth, ']') + "}";
    CPPUNIT_ASSERT(!PolledLoadOf(body, kAsked));
  }

  void CacheEventsArePassedOnAsTheyStand() {
    const auto polled =
        PolledLoadOf(R"({"running":1,"cache":{"next":4,"events":[]}})", kAsked);
    CPPUNIT_ASSERT(polled.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"events":[],"next":4})"),
                         polled->cache);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_report_json_test);

}  // namespace
}  // namespace slatestall
