#include "slatestall/dispatch/stream_origin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace slatestall {
namespace {

const stream_origin kOld{"s", "v1"};
const stream_origin kNew{"s", "v2"};
constexpr milliseconds kLife{10'000};

time_point At(int second) { return time_point{} + milliseconds(1000) * second; }

class stream_origin_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_origin_test);
  CPPUNIT_TEST(AnOriginIsKnownWhileItsStreamMayBeTakenUp);
  CPPUNIT_TEST(ARepeatProlongsAnOriginAndNeverChangesIt);
  CPPUNIT_TEST(AFullTableForgetsWhatEndsFirst);
  CPPUNIT_TEST_SUITE_END();

  void AnOriginIsKnownWhileItsStreamMayBeTakenUp() {
    stream_origins origins(8);
    origins.Note("a", kOld, kLife, At(0));
    CPPUNIT_ASSERT(origins.Find("a", At(9)) == kOld);
    CPPUNIT_ASSERT(!origins.Find("a", At(10)));
    CPPUNIT_ASSERT(!origins.Find("b", At(1)));
    origins.Note("b", kNew, kLife, At(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origins.size());
  }

  // Two hosts that differ on a stream would join events of two versions.
  void ARepeatProlongsAnOriginAndNeverChangesIt() {
    stream_origins origins(8);
    origins.Note("a", kOld, kLife, At(0));
    origins.Note("a", kNew, kLife, At(5));
    CPPUNIT_ASSERT(origins.Find("a", At(14)) == kOld);
    origins.Note("a", kOld, kLife / 10, At(6));
    CPPUNIT_ASSERT(origins.Find("a", At(14)) == kOld);
  }

  void AFullTableForgetsWhatEndsFirst() {
    stream_origins origins(2);
    origins.Note("a", kOld, kLife, At(0));
    origins.Note("b", kOld, kLife * 2, At(0));
    origins.Note("c", kOld, kLife * 3, At(1));
    CPPUNIT_ASSERT(!origins.Find("a", At(1)));
    CPPUNIT_ASSERT(origins.Find("b", At(1)) == kOld);
    CPPUNIT_ASSERT(origins.Find("c", At(1)) == kOld);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origin_test);

}  // namespace
}  // namespace slatestall
