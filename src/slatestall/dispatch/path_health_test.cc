#include "slatestall/dispatch/path_health.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace slatestall {
namespace {

known_endpoint Endpoint(const std::string& id, const std::string& service) {
  known_endpoint endpoint;
  endpoint.id = id;
  endpoint.service = service;
  return endpoint;
}

class path_health_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(path_health_test);
  CPPUNIT_TEST(OneEndpointThatIsDownIsNoCut);
  CPPUNIT_TEST(EndpointsThatFailInARowAreACut);
  CPPUNIT_TEST(TwoOfManyThatCrashTogetherAreNoCut);
  CPPUNIT_TEST(AnAnswerBetweenTwoFailuresRulesACutOut);
  CPPUNIT_TEST(AConnectionFromBeforeTheCutDoesNotRuleItOut);
  CPPUNIT_TEST(FailuresFarApartAreNoCut);
  CPPUNIT_TEST(OtherServicesOfACutHostAreSeenSooner);
  CPPUNIT_TEST(TwoProbesInARowEndTheCut);
  CPPUNIT_TEST(OtherHostsAreLeftAloneWhileNoneReachesTheService);
  CPPUNIT_TEST(RelayedCallsStayFewWhileAServiceIsDown);
  CPPUNIT_TEST_SUITE_END();

  path_health health_{[](const std::string&) { return std::size_t{2}; }};
  time_point now_{milliseconds(100'000)};

  // Requests were relayed because one endpoint of many had crashed.
  void OneEndpointThatIsDownIsNoCut() {
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(!health_.NoteUnreached(Endpoint("a", "s"), now_));
    }
    CPPUNIT_ASSERT(!health_.IsCut("s"));
  }

  // A host went on calling endpoints that it could not reach.
  void EndpointsThatFailInARowAreACut() {
    CPPUNIT_ASSERT(!health_.NoteUnreached(Endpoint("a", "s"), now_));
    CPPUNIT_ASSERT(health_.NoteUnreached(Endpoint("b", "s"), now_));
    CPPUNIT_ASSERT(health_.MayRelay("s", now_));
    CPPUNIT_ASSERT(!health_.IsCut("t"));
  }

  // A request that crashed one endpoint after the other counted as a cut, and
  // its crashes as the host's own failures.
  void TwoOfManyThatCrashTogetherAreNoCut() {
    path_health health([](const std::string&) { return std::size_t{9}; });
    health.NoteUnreached(Endpoint("a", "s"), now_);
    CPPUNIT_ASSERT(!health.NoteUnreached(Endpoint("b", "s"), now_));
    CPPUNIT_ASSERT(health.NoteUnreached(Endpoint("c", "s"), now_));
  }

  // Two crashes on a busy day counted as a cut.
  void AnAnswerBetweenTwoFailuresRulesACutOut() {
    health_.NoteUnreached(Endpoint("a", "s"), now_);
    health_.NoteReached("s", now_ + milliseconds(1));
    CPPUNIT_ASSERT(
        !health_.NoteUnreached(Endpoint("b", "s"), now_ + milliseconds(2)));
  }

  // Streams that lived on behind the cut hid that new connections failed.
  void AConnectionFromBeforeTheCutDoesNotRuleItOut() {
    health_.NoteUnreached(Endpoint("a", "s"), now_);
    health_.NoteReached("s", now_ - milliseconds(500));
    CPPUNIT_ASSERT(health_.NoteUnreached(Endpoint("b", "s"), now_));
  }

  // Two crashes of a quiet service, minutes apart, counted as a cut.
  void FailuresFarApartAreNoCut() {
    health_.NoteUnreached(Endpoint("a", "s"), now_);
    CPPUNIT_ASSERT(!health_.NoteUnreached(Endpoint("b", "s"),
                                          now_ + milliseconds(60'000)));
  }

  // A service with few requests lost two of them before the cut was seen.
  void OtherServicesOfACutHostAreSeenSooner() {
    health_.NoteUnreached(Endpoint("a", "s"), now_);
    health_.NoteUnreached(Endpoint("b", "s"), now_);
    CPPUNIT_ASSERT(health_.NoteUnreached(Endpoint("c", "t"), now_));
  }

  // One connection that came through ended the relaying of a path that resets.
  void TwoProbesInARowEndTheCut() {
    health_.NoteUnreached(Endpoint("a", "s"), now_);
    health_.NoteUnreached(Endpoint("b", "s"), now_);
    CPPUNIT_ASSERT(!health_.NoteProbe("s", true));
    CPPUNIT_ASSERT(!health_.NoteProbe("s", false));
    CPPUNIT_ASSERT(!health_.NoteProbe("s", true));
    CPPUNIT_ASSERT(health_.NoteProbe("s", true));
    CPPUNIT_ASSERT(!health_.IsCut("s"));
  }

  // A service that was down for all sent its calls from host to host.
  void OtherHostsAreLeftAloneWhileNoneReachesTheService() {
    health_.NoteUnreached(Endpoint("a", "s"), now_);
    health_.NoteUnreached(Endpoint("b", "s"), now_);
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(health_.MayRelay("s", now_));
      health_.NoteRelayed("s", relay_result::kRefused, now_);
    }
    CPPUNIT_ASSERT(!health_.MayRelay("s", now_));
    CPPUNIT_ASSERT(health_.MayRelay("s", now_ + milliseconds(1000)));
    health_.NoteRelayed("s", relay_result::kUnreachable,
                        now_ + milliseconds(1000));
    CPPUNIT_ASSERT(!health_.MayRelay("s", now_ + milliseconds(1500)));
  }

  // Calls to a service that is down everywhere swamped the other hosts.
  void RelayedCallsStayFewWhileAServiceIsDown() {
    rc::check("at most one relayed call a second after the first few", [this] {
      path_health health([](const std::string&) { return std::size_t{4}; });
      time_point now = now_;
      std::size_t relayed = 0;
      const auto calls = *rc::gen::inRange<std::size_t>(1, 120);
      const time_point begun = now;
      for (std::size_t i = 0; i < calls; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 60));
        if (health.MayRelay("s", now)) {
          ++relayed;
          health.NoteRelayed("s",
                             *rc::gen::element(relay_result::kRefused,
                                               relay_result::kUnreachable),
                             now);
        } else {
          const auto id = std::to_string(*rc::gen::inRange(0, 4));
          health.NoteUnreached(Endpoint(id, "s"), now);
        }
      }
      const auto seconds =
          std::chrono::duration_cast<std::chrono::seconds>(now - begun).count();
      RC_ASSERT(relayed <= 4 + static_cast<std::size_t>(seconds));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(path_health_test);

}  // namespace
}  // namespace slatestall
