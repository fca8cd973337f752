#include "slatestall/model/told_load.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

const time_point kNow{std::chrono::hours(1)};

class told_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(told_load_test);
  CPPUNIT_TEST(ThreeFiguresAreALoadWithoutPace);
  CPPUNIT_TEST(AFourthFigureIsThePace);
  CPPUNIT_TEST(ABadFourthFigureLeavesTheLoad);
  CPPUNIT_TEST(BadCountsAreNoLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ThreeFiguresAreALoadWithoutPace() {
    const auto load = LoadFrom({"3", "17", "8"}, kNow);
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT_EQUAL(3U, load->running);
    CPPUNIT_ASSERT_EQUAL(17U, load->waiting);
    CPPUNIT_ASSERT_EQUAL(8U, load->slots);
    CPPUNIT_ASSERT(load->at == kNow);
    CPPUNIT_ASSERT(!load->pace);
  }

  // Guards against a header that is dropped whole because it has one more
  // figure, which left the endpoint without any load.
  void AFourthFigureIsThePace() {
    const auto load = LoadFrom({"3", "17", "8", "250"}, kNow);
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT_EQUAL(17U, load->waiting);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, load->pace.value(), 1e-9);
  }

  void ABadFourthFigureLeavesTheLoad() {
    for (const auto* bad : {"", "0", "-1", "1.5", "100001", "fast", " 100"}) {
      const auto load = LoadFrom({"3", "17", "8", bad}, kNow);
      CPPUNIT_ASSERT_MESSAGE(bad, load.has_value());
      CPPUNIT_ASSERT_MESSAGE(bad, !load->pace);
    }
    const auto five = LoadFrom({"3", "17", "8", "250", "1"}, kNow);
    CPPUNIT_ASSERT(five.has_value());
    CPPUNIT_ASSERT(!five->pace);
  }

  void BadCountsAreNoLoad() {
    CPPUNIT_ASSERT(!LoadFrom({}, kNow));
    CPPUNIT_ASSERT(!LoadFrom({"3", "17"}, kNow));
    for (const auto* bad : {"", "-1", "x", "1000001", "9999999999", "1 "}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !LoadFrom({bad, "0", "8"}, kNow));
      CPPUNIT_ASSERT_MESSAGE(bad, !LoadFrom({"0", bad, "8"}, kNow));
      CPPUNIT_ASSERT_MESSAGE(bad, !LoadFrom({"0", "0", bad}, kNow));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(told_load_test);

}  // namespace
}  // namespace slatestall
