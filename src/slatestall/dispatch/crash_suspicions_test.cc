#include "slatestall/dispatch/crash_suspicions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "slatestall/dispatch/path_health.h"

namespace slatestall {
namespace {

known_endpoint Endpoint(const std::string& id, const std::string& service) {
  known_endpoint endpoint;
  endpoint.id = id;
  endpoint.service = service;
  return endpoint;
}

class crash_suspicions_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_suspicions_test);
  CPPUNIT_TEST(CrashesOfMostOfAServiceAreLookedAtAgain);
  CPPUNIT_TEST(AConnectionFromBeforeTheCrashProvesNothing);
  CPPUNIT_TEST(AnotherServiceThatIsReachedProvesNothing);
  CPPUNIT_TEST(ASuspicionEnds);
  CPPUNIT_TEST(ASettledSuspicionIsNotLookedAtAgain);
  CPPUNIT_TEST_SUITE_END();

  time_point At(int ms) const { return now_ + milliseconds(ms); }

  crash_suspicions suspicions_;
  time_point now_{milliseconds(100'000)};

  // Three engines crashed one after the other. The host took itself for cut
  // off, no other host was there to confirm the crashes, and none was reported,
  // although the host reached the engine that took their place.
  void CrashesOfMostOfAServiceAreLookedAtAgain() {
    path_health health([](const std::string&) { return std::size_t{3}; });
    for (int i = 0; i < 3; ++i) {
      const auto crashed = Endpoint("i-" + std::to_string(i), "s");
      health.NoteUnreached(crashed, At(i * 800));
      suspicions_.Note(crashed, At(i * 800));
    }
    CPPUNIT_ASSERT(health.IsCut("s"));
    const auto again = suspicions_.NoteReached("s", At(1700), At(1900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, again.size());
    CPPUNIT_ASSERT(!suspicions_.Has(again[0].Incarnation()));
  }

  // An answer that was under way when the links were lost made a crash of it.
  void AConnectionFromBeforeTheCrashProvesNothing() {
    suspicions_.Note(Endpoint("a", "s"), At(0));
    CPPUNIT_ASSERT(suspicions_.NoteReached("s", At(-1), At(100)).empty());
    CPPUNIT_ASSERT(suspicions_.Has({"a", 0}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         suspicions_.NoteReached("s", At(1), At(100)).size());
  }

  // A host may lose its links to the endpoints of one service alone.
  void AnotherServiceThatIsReachedProvesNothing() {
    suspicions_.Note(Endpoint("a", "s"), At(0));
    CPPUNIT_ASSERT(suspicions_.NoteReached("t", At(1), At(100)).empty());
    CPPUNIT_ASSERT(suspicions_.Has({"a", 0}));
  }

  // An endpoint that was stopped during a long cut was taken for crashed.
  void ASuspicionEnds() {
    suspicions_.Note(Endpoint("a", "s"), At(0));
    CPPUNIT_ASSERT(
        suspicions_.NoteReached("s", At(10'100), At(10'200)).empty());
    CPPUNIT_ASSERT(!suspicions_.Has({"a", 0}));
  }

  // A crash that another host had confirmed was reported twice.
  void ASettledSuspicionIsNotLookedAtAgain() {
    suspicions_.Note(Endpoint("a", "s"), At(0));
    suspicions_.Settle({"a", 0});
    CPPUNIT_ASSERT(suspicions_.NoteReached("s", At(1), At(100)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspicions_test);

}  // namespace
}  // namespace slatestall
