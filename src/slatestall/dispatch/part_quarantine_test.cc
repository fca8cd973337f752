#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/dispatch/quarantine_fleet.h"
#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

const request_digest kShared = DigestOfPart("shared by nearly all requests");
const request_digest kGuilty = DigestOfPart("guilty");
const request_digest kSecondGuilty = DigestOfPart("guilty as well");

time_point AfterSeconds(int seconds, std::int64_t and_ms = 0) {
  return At(std::int64_t{1000} * seconds + and_ms);
}

/// Contents are all different.
request_digest Content(std::uint64_t draw) { return draw >> 1U; }

class part_quarantine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(part_quarantine_test);
  CPPUNIT_TEST(APartIsToldFromContents);
  CPPUNIT_TEST(ThreeCrashesUnderAPartQuarantineIt);
  CPPUNIT_TEST(AHostThatLostNoCallWaitsForAReportedVerdict);
  CPPUNIT_TEST(APartThatIsServedIsClearOfChanceCrashes);
  CPPUNIT_TEST(APartThatTurnsGuiltyIsQuarantinedAfterFiveMore);
  CPPUNIT_TEST(ARequestThatCrashesEndpointsTakesNoneOfItsPartsWithIt);
  CPPUNIT_TEST(AContentThatRanWhereAnotherCrashedEndpointsIsNotQuarantined);
  CPPUNIT_TEST(ASecondContentThatCrashesEndpointsIsQuarantinedAfterTwoMore);
  CPPUNIT_TEST(ContentsThatCrashTheSameEndpointsAreBothQuarantined);
  CPPUNIT_TEST(AFleetSendsFewMoreOfGuiltyPartsAndServesTheOthers);
  CPPUNIT_TEST_SUITE_END();

  void APartIsToldFromContents() {
    CPPUNIT_ASSERT(IsOfPart(kGuilty));
    CPPUNIT_ASSERT(!IsOfPart(DigestOf({"h", "GET", "/a", "w", "body"})));
    CPPUNIT_ASSERT(kGuilty != kShared);
  }

  static void CrashUnder(content_quarantine& quarantine, int first, int last,
                         crash_source source) {
    for (int i = first; i < last; ++i) {
      quarantine.NoteCrash(
          Crash(i, {static_cast<request_digest>(i), kShared, kGuilty}), source,
          AfterSeconds(i));
    }
  }

  // Requests that share one part, and no two alike, crash endpoints by turns.
  void ThreeCrashesUnderAPartQuarantineIt() {
    auto quarantine = Quarantine();
    quarantine.NoteServed(kShared, At(0));
    CrashUnder(quarantine, 1, 4, crash_source::kOwnCalls);
    const auto told = quarantine.Judge(At(3400));
    CPPUNIT_ASSERT(quarantine.Refuses(kGuilty, At(3400)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kShared, At(3400)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
    CPPUNIT_ASSERT(told[0].content == kGuilty);
  }

  // Most hosts have served none of a part that few requests share.
  void AHostThatLostNoCallWaitsForAReportedVerdict() {
    auto quarantine = Quarantine();
    CrashUnder(quarantine, 1, 4, crash_source::kOtherHost);
    CPPUNIT_ASSERT(quarantine.Judge(At(3400)).empty());
    CPPUNIT_ASSERT(quarantine.IsEmpty());
    quarantine.NoteVerdict(kGuilty, content_verdict::kQuarantined,
                           verdict_teller::kOtherHost, At(3500));
    CPPUNIT_ASSERT(quarantine.Refuses(kGuilty, At(3500)));
  }

  // A part that nearly all requests share is at each endpoint that crashes.
  void APartThatIsServedIsClearOfChanceCrashes() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 12; ++i) {
      quarantine.NoteServed(kShared, AfterSeconds(i));
      CrashUnder(quarantine, i, i + 1, crash_source::kOwnCalls);
      quarantine.Judge(AfterSeconds(i, 400));
      CPPUNIT_ASSERT(!quarantine.Refuses(kShared, AfterSeconds(i, 400)));
    }
    CPPUNIT_ASSERT(quarantine.Refuses(kGuilty, At(12'000)));
  }

  // New software crashes on a part that it has always read.
  void APartThatTurnsGuiltyIsQuarantinedAfterFiveMore() {
    auto quarantine = Quarantine();
    quarantine.NoteServed(kShared, At(0));
    quarantine.NoteServed(kGuilty, At(500));
    for (int i = 1; i <= 5; ++i) {
      CPPUNIT_ASSERT(!quarantine.Refuses(kGuilty, AfterSeconds(i)));
      quarantine.NoteServed(kShared, AfterSeconds(i, -1));
      CrashUnder(quarantine, i, i + 1, crash_source::kOwnCalls);
      quarantine.Judge(AfterSeconds(i, 400));
    }
    CPPUNIT_ASSERT(quarantine.Refuses(kGuilty, At(5400)));
  }

  // Other requests share the parts of one that crashes endpoints by itself.
  void ARequestThatCrashesEndpointsTakesNoneOfItsPartsWithIt() {
    auto quarantine = Quarantine();
    constexpr request_digest kContent = 0xc0;
    for (int i = 0; i < 4; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent, kGuilty}),
                           crash_source::kOwnCalls, AfterSeconds(i));
      quarantine.NoteAnswer("s", AfterSeconds(i, 100));
      quarantine.Judge(AfterSeconds(i, 400));
    }
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(3400)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kGuilty, At(3400)));
  }

  // A content that was never served ran at two endpoints that another crashed
  // and at one that crashed by itself, and was refused from then on.
  void AContentThatRanWhereAnotherCrashedEndpointsIsNotQuarantined() {
    auto quarantine = Quarantine();
    constexpr request_digest kCrashes = 0xc0;
    constexpr request_digest kByChance = 0xc1;
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(
          Crash(i, i == 0 ? std::vector<request_digest>{kCrashes}
                          : std::vector<request_digest>{kCrashes, kByChance}),
          crash_source::kOwnCalls, AfterSeconds(i));
    }
    quarantine.Judge(At(2400));
    CPPUNIT_ASSERT(quarantine.Refuses(kCrashes, At(2400)));
    quarantine.NoteCrash(Crash(3, {kByChance}), crash_source::kOwnCalls,
                         At(5000));
    quarantine.Judge(At(9000));
    CPPUNIT_ASSERT(!quarantine.Refuses(kByChance, At(9000)));
  }

  // Crashes that another content explains must not excuse one that goes on
  // crashing endpoints once that other one is refused.
  void ASecondContentThatCrashesEndpointsIsQuarantinedAfterTwoMore() {
    auto quarantine = Quarantine();
    constexpr request_digest kFirst = 0xc0;
    constexpr request_digest kSecond = 0xc1;
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(
          Crash(i, i == 0 ? std::vector<request_digest>{kFirst}
                          : std::vector<request_digest>{kFirst, kSecond}),
          crash_source::kOwnCalls, AfterSeconds(i));
    }
    quarantine.Judge(At(2400));
    for (int i = 3; i < 5; ++i) {
      CPPUNIT_ASSERT(!quarantine.Refuses(kSecond, AfterSeconds(i)));
      quarantine.NoteCrash(Crash(i, {kSecond}), crash_source::kOwnCalls,
                           AfterSeconds(i));
      quarantine.NoteAnswer("s", AfterSeconds(i, 100));
      quarantine.Judge(AfterSeconds(i, 400));
    }
    CPPUNIT_ASSERT(quarantine.Refuses(kSecond, At(4400)));
  }

  // Where two contents ran at the same endpoints, the verdict on the one that
  // is judged first must not excuse the other, which may be the cause.
  void ContentsThatCrashTheSameEndpointsAreBothQuarantined() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {0xc0, 0xc1}), crash_source::kOwnCalls,
                           AfterSeconds(i));
      quarantine.NoteAnswer("s", AfterSeconds(i, 100));
      quarantine.Judge(AfterSeconds(i, 400));
    }
    CPPUNIT_ASSERT(quarantine.Refuses(0xc0, At(2400)));
    CPPUNIT_ASSERT(quarantine.Refuses(0xc1, At(2400)));
  }

  // Two parts crash endpoints at the same time. Nothing more than few requests
  // with either goes out once all hosts can know, and requests that share their
  // other parts are served.
  void AFleetSendsFewMoreOfGuiltyPartsAndServesTheOthers() {
    CPPUNIT_ASSERT(rc::check("few more with a guilty part are sent", [] {
      fleet hosts(*rc::gen::oneOf(rc::gen::inRange<std::size_t>(1, 12),
                                  rc::gen::inRange<std::size_t>(12, 391)));
      const milliseconds delay(*rc::gen::inRange(0, kLongestDelay));
      const int pause = *rc::gen::inRange(1, 40);
      const int joins_every = *rc::gen::inRange(50, 200);
      const std::size_t guilty = *rc::gen::inRange<std::size_t>(1, 3);
      const std::array<request_digest, 2> parts{kGuilty, kSecondGuilty};
      std::array<int, 2> crashed{};
      std::array<time_point, 2> fifth{time_point::max(), time_point::max()};
      std::array<std::size_t, 2> more{};
      std::size_t sound = 0;
      std::size_t refused = 0;
      int endpoint = 0;
      std::uint64_t draw = *rc::gen::arbitrary<std::uint64_t>();
      for (int step = 0; step < 1200; ++step) {
        const auto now = At(0) + step * kStep;
        hosts.Tick(now, delay);
        if (step % joins_every == joins_every - 1) {
          hosts.Join(now);
        }
        draw = StableHash(std::to_string(draw));
        auto& server = hosts.Host(draw % hosts.Size()).quarantine;
        ++sound;
        if (server.Refuses(kShared, now)) {
          ++refused;
        } else {
          server.NoteServed(kShared, now);
        }
        if (step % pause != 0) {
          continue;
        }
        draw = StableHash(std::to_string(draw));
        const auto which = draw / 1000 % guilty;
        const auto index = draw % hosts.Size();
        auto& host = hosts.Host(index);
        if (host.quarantine.Refuses(kShared, now) ||
            (host.quarantine.Refuses(parts[which], now) &&
             !host.quarantine.TakeTrial(parts[which], now))) {
          continue;
        }
        const bool in_touch = now - host.started > kSettle;
        if (in_touch && fifth[which] != time_point::max() &&
            now > fifth[which] + kSettle) {
          ++more[which];
        }
        hosts.Crash(index,
                    Crash(endpoint++, {Content(draw), kShared, parts[which]}),
                    now);
        if (++crashed[which] == 5) {
          fifth[which] = now;
        }
      }
      RC_ASSERT(more[0] <= kMoreAllowed);
      RC_ASSERT(more[1] <= kMoreAllowed);
      RC_ASSERT(refused * 10 <= sound);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_quarantine_test);

}  // namespace
}  // namespace slatestall
