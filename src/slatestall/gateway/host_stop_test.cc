#include "slatestall/gateway/host_stop.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

constexpr milliseconds kGrace{8000};
constexpr milliseconds kLag{3000};
constexpr time_point kTold{std::chrono::seconds(100)};

class host_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(host_stop_test);
  CPPUNIT_TEST(WhatLikelyEndsInTimeIsTakenAtFirst);
  CPPUNIT_TEST(WhatIsSureToEndInTimeIsTakenLater);
  CPPUNIT_TEST(ATimeTooShortForAnyAnswerAllowsNone);
  CPPUNIT_TEST(NothingIsTakenInTheLastMoment);
  CPPUNIT_TEST(WhatIsTakenEndsBeforeTheProcess);
  CPPUNIT_TEST_SUITE_END();

 private:
  static time_point After(int ms) { return kTold + milliseconds(ms); }

  void WhatLikelyEndsInTimeIsTakenAtFirst() {
    const auto stop = host_stop::Begin(kTold, kGrace, kLag);
    CPPUNIT_ASSERT(stop.Allows(After(2499), After(15'000), After(7300)));
    CPPUNIT_ASSERT(!stop.Allows(After(0), After(15'000), After(7301)));
    // Callers that wait less than answers usually take end in time, too.
    CPPUNIT_ASSERT(stop.Allows(After(0), After(7000), After(9000)));
  }

  // Two of a hundred streams take longer than the longest of the last ones.
  // Once callers have other hosts to go to, none of them may be cut.
  void WhatIsSureToEndInTimeIsTakenLater() {
    const auto stop = host_stop::Begin(kTold, kGrace, kLag);
    CPPUNIT_ASSERT(!stop.Allows(After(2500), After(15'000), After(5000)));
    CPPUNIT_ASSERT(stop.Allows(After(2500), After(7300), After(9000)));
  }

  void NothingIsTakenInTheLastMoment() {
    auto stop = host_stop::Begin(kTold, kGrace, kLag);
    stop.takes_none = true;
    CPPUNIT_ASSERT(!stop.Allows(After(0), After(1), After(1)));
  }

  // The door closes, answers in hand are waited for, the rest is refused, and
  // its last bytes leave: all of it after the last answer that was counted on,
  // and within the grace.
  void WhatIsTakenEndsBeforeTheProcess() {
    const auto stop = host_stop::Begin(kTold, kGrace, kLag);
    const auto waited_until = kTold + kLag +
                              host_stop::AnswerTime(kGrace, kLag) +
                              host_stop::kLastBytes;
    CPPUNIT_ASSERT(waited_until > stop.last_answer_by);
    CPPUNIT_ASSERT(waited_until + host_stop::kLastBytes < kTold + kGrace);
  }

  void ATimeTooShortForAnyAnswerAllowsNone() {
    const auto stop = host_stop::Begin(kTold, milliseconds(200), kLag);
    CPPUNIT_ASSERT(!stop.Allows(After(0), After(1), After(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_stop_test);

}  // namespace
}  // namespace slatestall
