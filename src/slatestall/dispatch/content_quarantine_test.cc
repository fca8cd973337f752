#include "slatestall/dispatch/content_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/dispatch/quarantine_fleet.h"
#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr request_digest kContent = 0xc0;
constexpr request_digest kOther = 0x07;
constexpr request_digest kThird = 0x33;
/// In which reports of one crash come together.
constexpr milliseconds kReports{300};

/// Three crashes a second apart.
void CrashThree(content_quarantine& quarantine, crash_source source,
                const std::vector<std::string>& services = {"s", "s", "s"}) {
  for (int i = 0; i < 3; ++i) {
    auto crash = Crash(i, {kContent});
    crash.service = services[static_cast<std::size_t>(i)];
    quarantine.NoteCrash(crash, source, At(std::int64_t{1000} * i));
  }
}

class content_quarantine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(content_quarantine_test);
  CPPUNIT_TEST(DigestsTellContentsApart);
  CPPUNIT_TEST(TheThirdCrashQuarantinesAndTheHostThatLostACallTells);
  CPPUNIT_TEST(AHostThatLostNoCallJudgesAndTellsNobody);
  CPPUNIT_TEST(TwoCrashesDoNot);
  CPPUNIT_TEST(SeveralHostsReportsOfOneCrashCountOnce);
  CPPUNIT_TEST(CrashesOfTwoServicesAreCountedApart);
  CPPUNIT_TEST(AContentThatWasServedOfLateIsClearedInstead);
  CPPUNIT_TEST(OneThatWasServedLongAgoIsNot);
  CPPUNIT_TEST(AHostThatServedItClearsAnothersQuarantine);
  CPPUNIT_TEST(EndpointsThatCrashTogetherQuarantineNothing);
  CPPUNIT_TEST(LateReportsOfOtherCrashesCount);
  CPPUNIT_TEST(TwoContentsThatCrashEndpointsByTurnsAreBothQuarantined);
  CPPUNIT_TEST(ContentsThatShareCrashesHaveAMomentToBeServed);
  CPPUNIT_TEST(ContentsThatShareCrashesAndAreNotServedAreQuarantined);
  CPPUNIT_TEST(ManySuspectsAreNotJudgedBeforeTheirServiceAnswers);
  CPPUNIT_TEST(ManySuspectsAreJudgedWhereEndpointsGoOnCrashing);
  CPPUNIT_TEST(OneThatRanBesideAQuarantinedContentHasAMomentToBeServed);
  CPPUNIT_TEST(AfterTheLossOfAServiceTheOnlyKnownSuspectHasAMomentToBeServed);
  CPPUNIT_TEST(TheContentThatKeepsAServiceDownIsQuarantined);
  CPPUNIT_TEST(EachOfManySuspectsHasAnEarlyTrial);
  CPPUNIT_TEST(CrashesOfBeforeTheStartCount);
  CPPUNIT_TEST(AToldQuarantineHoldsUntilItIsWithdrawn);
  CPPUNIT_TEST(AQuarantineEnds);
  CPPUNIT_TEST(TheHostWhoseVerdictStandsTriesOnceInAWhile);
  CPPUNIT_TEST(ATrialThatIsServedClearsTheContent);
  CPPUNIT_TEST(AHostTakesWhatItServedBeforeTheStoreKnows);
  CPPUNIT_TEST(AVerdictThatNoHostReportsEnds);
  CPPUNIT_TEST(ReportsThatAreReadAgainAfterAContentWasClearedDoNotCount);
  CPPUNIT_TEST(AFleetSendsFewMoreAfterTheThirdCrash);
  CPPUNIT_TEST(EqualRequestsAreServedWhileEndpointsCrashForAnotherReason);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DigestsTellContentsApart() {
    const request_content content{"h", "GET", "/a", "w", "body"};
    const auto digest = DigestOf(content);
    CPPUNIT_ASSERT_EQUAL(digest, DigestOf({"h", "GET", "/a", "w", "body"}));
    CPPUNIT_ASSERT(digest != DigestOf({"h", "GET", "/a", "v", "body"}));
    CPPUNIT_ASSERT(digest != DigestOf({"h", "GET", "/aw", "", "body"}));
    CPPUNIT_ASSERT(digest != DigestOf({"h", "GET", "/a", "w", "bodz"}));
    CPPUNIT_ASSERT_EQUAL(std::string("000000000000000a"), DigestText(10));
    CPPUNIT_ASSERT(DigestIn(DigestText(digest)) == digest);
    CPPUNIT_ASSERT(!DigestIn("a"));
    CPPUNIT_ASSERT(!DigestIn("00000000000000xa"));
  }

  void TheThirdCrashQuarantinesAndTheHostThatLostACallTells() {
    auto quarantine = Quarantine();
    quarantine.NoteCrash(Crash(0, {kContent, kOther}), crash_source::kOtherHost,
                         At(0));
    quarantine.NoteCrash(Crash(1, {kContent}), crash_source::kOtherHost,
                         At(700));
    quarantine.NoteCrash(Crash(2, {kContent}), crash_source::kOwnCalls,
                         At(1400));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(1400)));
    CPPUNIT_ASSERT(quarantine.JudgesAt() == At(1400) + kReports);
    const auto told = quarantine.Judge(At(1700));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(1700)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kOther, At(1700)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
    CPPUNIT_ASSERT(told[0].content == kContent &&
                   told[0].verdict == content_verdict::kQuarantined);
    CPPUNIT_ASSERT(!quarantine.JudgesAt());
  }

  void AHostThatLostNoCallJudgesAndTellsNobody() {
    auto quarantine = Quarantine();
    CrashThree(quarantine, crash_source::kOtherHost);
    CPPUNIT_ASSERT(quarantine.Judge(At(2300)).empty());
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(2300)));
  }

  void TwoCrashesDoNot() {
    auto quarantine = Quarantine();
    quarantine.NoteCrash(Crash(0, {kContent}), crash_source::kOwnCalls, At(0));
    quarantine.NoteCrash(Crash(1, {kContent}), crash_source::kOwnCalls, At(9));
    CPPUNIT_ASSERT(!quarantine.JudgesAt());
    CPPUNIT_ASSERT(quarantine.IsEmpty());
  }

  void SeveralHostsReportsOfOneCrashCountOnce() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 5; ++i) {
      quarantine.NoteCrash(Crash(1, {kContent}), crash_source::kOtherHost,
                           At(i));
    }
    CPPUNIT_ASSERT(!quarantine.JudgesAt());
  }

  // A request with stages had run where another one crashed two engines, and a
  // stage endpoint of its own crashed for no reason of theirs.
  void CrashesOfTwoServicesAreCountedApart() {
    auto quarantine = Quarantine();
    CrashThree(quarantine, crash_source::kOwnCalls, {"s", "s", "t"});
    quarantine.Judge(At(2300));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(2300)));
    quarantine.NoteCrash(Crash(3, {kContent}), crash_source::kOwnCalls,
                         At(3000));
    quarantine.Judge(At(3300));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(3300)));
  }

  void AContentThatWasServedOfLateIsClearedInstead() {
    auto quarantine = Quarantine();
    quarantine.NoteServed(kContent, At(-1000));
    CrashThree(quarantine, crash_source::kOwnCalls);
    const auto told = quarantine.Judge(At(2300));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(2300)));
    CPPUNIT_ASSERT(told.size() == 1 &&
                   told[0].verdict == content_verdict::kCleared);
    // The same three are not judged again.
    quarantine.NoteCrash(Crash(3, {kContent}), crash_source::kOwnCalls,
                         At(2400));
    CPPUNIT_ASSERT(!quarantine.JudgesAt());
  }

  void OneThatWasServedLongAgoIsNot() {
    auto quarantine = Quarantine();
    quarantine.NoteServed(kContent, At(-70'000));
    CrashThree(quarantine, crash_source::kOwnCalls);
    quarantine.Judge(At(2300));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(2300)));
  }

  void AHostThatServedItClearsAnothersQuarantine() {
    auto server = Quarantine();
    auto third = Quarantine();
    server.NoteServed(kContent, At(0));
    server.NoteVerdict(kContent, content_verdict::kQuarantined,
                       verdict_teller::kOtherHost, At(10));
    third.NoteVerdict(kContent, content_verdict::kQuarantined,
                      verdict_teller::kOtherHost, At(10));
    CPPUNIT_ASSERT(!server.Refuses(kContent, At(10)));
    CPPUNIT_ASSERT(third.Refuses(kContent, At(10)));
    const auto told = server.Judge(At(10));
    CPPUNIT_ASSERT(told.size() == 1 &&
                   told[0].verdict == content_verdict::kCleared);
    third.NoteVerdict(kContent, told[0].verdict, verdict_teller::kOtherHost,
                      At(20));
    CPPUNIT_ASSERT(!third.Refuses(kContent, At(20)));
  }

  // A popular request is on many endpoints of a domain that loses power.
  void EndpointsThatCrashTogetherQuarantineNothing() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 12; ++i) {
      quarantine.NoteCrash(
          Crash(i, {i < 3 ? kContent : static_cast<request_digest>(100 + i)}),
          crash_source::kOwnCalls, At(std::int64_t{10} * i));
    }
    quarantine.Judge(At(600));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(600)));
  }

  void LateReportsOfOtherCrashesCount() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent}), crash_source::kOwnCalls,
                           At(0));
    }
    for (int i = 3; i < 12; ++i) {
      quarantine.NoteCrash(Crash(i, {kOther}), crash_source::kOtherHost,
                           At(250));
    }
    quarantine.Judge(At(300));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(300)));
  }

  void TwoContentsThatCrashEndpointsByTurnsAreBothQuarantined() {
    auto quarantine = Quarantine();
    int endpoint = 0;
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(endpoint++, {kContent, 1}),
                           crash_source::kOwnCalls, At(std::int64_t{1000} * i));
      quarantine.NoteAnswer("s", At(std::int64_t{1000} * i + 100));
      quarantine.NoteCrash(Crash(endpoint++, {kOther, 2}),
                           crash_source::kOwnCalls,
                           At(std::int64_t{1000} * i + 500));
      quarantine.NoteAnswer("s", At(std::int64_t{1000} * i + 600));
    }
    quarantine.Judge(At(2800));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(2800)));
    CPPUNIT_ASSERT(quarantine.Refuses(kOther, At(2800)));
  }

  // A host that had served none of a popular content yet refused it together
  // with the one that crashed its endpoints.
  void ContentsThatShareCrashesHaveAMomentToBeServed() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent, kOther, kThird}),
                           crash_source::kOwnCalls, At(std::int64_t{400} * i));
    }
    CPPUNIT_ASSERT(quarantine.Judge(At(1100)).empty());
    CPPUNIT_ASSERT(quarantine.IsEmpty());
    CPPUNIT_ASSERT(quarantine.JudgesAt() == At(1100) + kReports);
    quarantine.NoteServed(kOther, At(1200));
    quarantine.NoteServed(kThird, At(1300));
    const auto told = quarantine.Judge(At(1400));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(1400)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kOther, At(1400)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kThird, At(1400)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, told.size());
  }

  void ContentsThatShareCrashesAndAreNotServedAreQuarantined() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent, kOther, kThird}),
                           crash_source::kOwnCalls, At(std::int64_t{400} * i));
    }
    quarantine.NoteAnswer("s", At(800));
    while (const auto at = quarantine.JudgesAt()) {
      CPPUNIT_ASSERT(*at <= At(1800));
      quarantine.Judge(*at);
    }
    for (const auto content : {kContent, kOther, kThird}) {
      CPPUNIT_ASSERT(quarantine.Refuses(content, At(1800)));
    }
  }

  /// Judges whenever that is due.
  static void JudgeUntil(content_quarantine& quarantine, time_point end) {
    for (auto at = quarantine.JudgesAt(); at && *at <= end;
         at = quarantine.JudgesAt()) {
      quarantine.Judge(*at);
    }
  }

  // All endpoints of a service crashed together, and all contents that ran
  // there were refused though none could have been served.
  void ManySuspectsAreNotJudgedBeforeTheirServiceAnswers() {
    auto quarantine = Quarantine();
    for (int i = 0; i < static_cast<int>(kListed); ++i) {
      quarantine.NoteCrash(Crash(i, {kContent, kOther, kThird}),
                           crash_source::kOwnCalls, At(std::int64_t{10} * i));
    }
    quarantine.NoteAnswer("t", At(500));
    JudgeUntil(quarantine, At(20'000));
    CPPUNIT_ASSERT(quarantine.IsEmpty());
    quarantine.NoteAnswer("s", At(20'000));
    JudgeUntil(quarantine, At(20'999));
    CPPUNIT_ASSERT(quarantine.IsEmpty());
    quarantine.NoteServed(kOther, At(20'999));
    quarantine.NoteServed(kThird, At(20'999));
    JudgeUntil(quarantine, At(30'000));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(30'000)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kOther, At(30'000)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kThird, At(30'000)));
  }

  // A request that crashes each endpoint before it has answered anything.
  void ManySuspectsAreJudgedWhereEndpointsGoOnCrashing() {
    auto quarantine = Quarantine(3);
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT(quarantine.IsEmpty());
      const auto now = At(std::int64_t{2000} * i);
      quarantine.NoteCrash(Crash(i, {kContent, kOther, kThird}),
                           crash_source::kOwnCalls, now);
      JudgeUntil(quarantine, now + milliseconds(1999));
    }
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(12'000)));
  }

  // While the store was silent, a host judged the content of its own calls, and
  // then, by late reports, each that had run beside it.
  void OneThatRanBesideAQuarantinedContentHasAMomentToBeServed() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent}), crash_source::kOwnCalls,
                           At(std::int64_t{100} * i));
    }
    JudgeUntil(quarantine, At(1000));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(1000)));
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent, kOther, kThird}),
                           crash_source::kOtherHost, At(1500));
    }
    JudgeUntil(quarantine, At(5000));
    CPPUNIT_ASSERT(!quarantine.Refuses(kOther, At(5000)));
    quarantine.NoteAnswer("s", At(5000));
    quarantine.NoteServed(kThird, At(5100));
    quarantine.NoteServed(kOther, At(5900));
    JudgeUntil(quarantine, At(10'000));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(10'000)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kOther, At(10'000)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kThird, At(10'000)));
  }

  // All endpoints crashed while the store was silent. A host knew only what it
  // had lost itself, and refused the one content that it had had at all three.
  void AfterTheLossOfAServiceTheOnlyKnownSuspectHasAMomentToBeServed() {
    auto quarantine = Quarantine(3);
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent}), crash_source::kOwnCalls,
                           At(std::int64_t{100} * i));
    }
    JudgeUntil(quarantine, At(5000));
    CPPUNIT_ASSERT(quarantine.IsEmpty());
    quarantine.NoteAnswer("s", At(5000));
    JudgeUntil(quarantine, At(5999));
    CPPUNIT_ASSERT(quarantine.IsEmpty());
    quarantine.NoteServed(kContent, At(5999));
    JudgeUntil(quarantine, At(10'000));
    CPPUNIT_ASSERT(quarantine.IsEmpty());
  }

  // It goes on crashing whatever starts, and nothing else is served.
  void TheContentThatKeepsAServiceDownIsQuarantined() {
    auto quarantine = Quarantine(3);
    for (int i = 0; i < 7; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent}), crash_source::kOwnCalls,
                           At(std::int64_t{700} * i));
      JudgeUntil(quarantine, At(std::int64_t{700} * i + 650));
    }
    JudgeUntil(quarantine, At(5000));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(5000)));
  }

  // No suspect was served in time, and all stayed out for half a minute.
  void EachOfManySuspectsHasAnEarlyTrial() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 3; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent, kOther, kThird}),
                           crash_source::kOwnCalls, At(0));
    }
    quarantine.NoteAnswer("s", At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine.Judge(At(1000)).size());
    for (const auto content : {kContent, kOther, kThird}) {
      quarantine.NoteVerdict(content, content_verdict::kQuarantined,
                             verdict_teller::kThisHost, At(1000));
      CPPUNIT_ASSERT(!quarantine.TakeTrial(content, At(2999)));
      CPPUNIT_ASSERT(quarantine.TakeTrial(content, At(3000)));
      CPPUNIT_ASSERT(!quarantine.TakeTrial(content, At(32'999)));
      CPPUNIT_ASSERT(quarantine.TakeTrial(content, At(33'000)));
      CPPUNIT_ASSERT(quarantine.TakeTrial(content, At(633'000)));
      CPPUNIT_ASSERT(!quarantine.TakeTrial(content, At(3'000'000)));
    }
  }

  void CrashesOfBeforeTheStartCount() {
    auto quarantine = Quarantine();
    for (int i = 0; i < 2; ++i) {
      quarantine.NoteCrash(Crash(i, {kContent}), crash_source::kHistory, At(0));
    }
    for (int i = 10; i < 25; ++i) {
      quarantine.NoteCrash(Crash(i, {kOther}), crash_source::kHistory, At(0));
    }
    quarantine.NoteCrash(Crash(2, {kContent}), crash_source::kOwnCalls, At(50));
    quarantine.Judge(At(400));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(400)));
  }

  void AToldQuarantineHoldsUntilItIsWithdrawn() {
    auto quarantine = Quarantine();
    quarantine.NoteVerdict(kContent, content_verdict::kQuarantined,
                           verdict_teller::kOtherHost, At(0));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(1)));
    quarantine.NoteVerdict(kContent, std::nullopt, verdict_teller::kOtherHost,
                           At(2));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(2)));
  }

  void AQuarantineEnds() {
    auto quarantine = Quarantine();
    quarantine.NoteVerdict(kContent, content_verdict::kQuarantined,
                           verdict_teller::kOtherHost, At(0));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(3'599'000)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(3'600'000)));
  }

  void TheHostWhoseVerdictStandsTriesOnceInAWhile() {
    auto teller = Quarantine();
    auto other = Quarantine();
    teller.NoteVerdict(kContent, content_verdict::kQuarantined,
                       verdict_teller::kThisHost, At(0));
    other.NoteVerdict(kContent, content_verdict::kQuarantined,
                      verdict_teller::kOtherHost, At(0));
    CPPUNIT_ASSERT(!teller.TakeTrial(kContent, At(29'999)));
    CPPUNIT_ASSERT(teller.TakeTrial(kContent, At(30'000)));
    CPPUNIT_ASSERT(!teller.TakeTrial(kContent, At(30'001)));
    CPPUNIT_ASSERT(teller.Refuses(kContent, At(30'001)));
    CPPUNIT_ASSERT(teller.TakeTrial(kContent, At(630'000)));
    CPPUNIT_ASSERT(!teller.TakeTrial(kContent, At(3'000'000)));
    CPPUNIT_ASSERT(!other.TakeTrial(kContent, At(3'000'000)));
  }

  void ATrialThatIsServedClearsTheContent() {
    auto quarantine = Quarantine();
    quarantine.NoteVerdict(kContent, content_verdict::kQuarantined,
                           verdict_teller::kThisHost, At(0));
    quarantine.NoteServed(kContent, At(31'000));
    const auto told = quarantine.Judge(At(31'000));
    CPPUNIT_ASSERT(told.size() == 1 &&
                   told[0].verdict == content_verdict::kCleared);
    quarantine.NoteVerdict(kContent, told[0].verdict, verdict_teller::kThisHost,
                           At(31'100));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(31'100)));
  }

  // Without the store, a host refused what it had just served.
  void AHostTakesWhatItServedBeforeTheStoreKnows() {
    auto quarantine = Quarantine();
    CrashThree(quarantine, crash_source::kOwnCalls);
    quarantine.Judge(At(2300));
    quarantine.NoteServed(kContent, At(2400));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(2400)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine.Judge(At(2400)).size());
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(2400)));
  }

  // A host that had just started refused a popular content for an hour, by
  // reports that every other host had answered by serving it.
  void AVerdictThatNoHostReportsEnds() {
    auto quarantine = Quarantine();
    CrashThree(quarantine, crash_source::kHistory);
    quarantine.Judge(At(2300));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(32'299)));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(32'300)));
    quarantine.NoteVerdict(kContent, content_verdict::kQuarantined,
                           verdict_teller::kOtherHost, At(2400));
    CPPUNIT_ASSERT(quarantine.Refuses(kContent, At(3'602'399)));
  }

  // A restored store gets reports and verdicts again in any order.
  void ReportsThatAreReadAgainAfterAContentWasClearedDoNotCount() {
    auto quarantine = Quarantine();
    CrashThree(quarantine, crash_source::kOtherHost);
    quarantine.NoteVerdict(kContent, content_verdict::kCleared,
                           verdict_teller::kOtherHost, At(2100));
    CrashThree(quarantine, crash_source::kOtherHost);
    quarantine.Judge(At(60'000));
    CPPUNIT_ASSERT(!quarantine.Refuses(kContent, At(60'000)));
  }

  void AFleetSendsFewMoreAfterTheThirdCrash();
  void EqualRequestsAreServedWhileEndpointsCrashForAnotherReason();
};

// The whole fleet goes on sending a request that crashes endpoints, each host
// as long as it has not heard of three.
void content_quarantine_test::AFleetSendsFewMoreAfterTheThirdCrash() {
  CPPUNIT_ASSERT(rc::check("few more are sent after the third crash", [] {
    fleet hosts(*rc::gen::oneOf(rc::gen::inRange<std::size_t>(1, 12),
                                rc::gen::inRange<std::size_t>(12, 391)));
    const milliseconds delay(*rc::gen::inRange(0, kLongestDelay));
    const int pause = *rc::gen::inRange(1, 40);  // Steps between two requests.
    const int joins_every = *rc::gen::inRange(10, 100);
    for (int i = 0, parted = *rc::gen::inRange(0, 4); i < parted; ++i) {
      auto& host = hosts.Host(*rc::gen::inRange<std::size_t>(0, hosts.Size()));
      host.parted_from = At(*rc::gen::inRange(0, 10'000));
      host.parted_until =
          host.parted_from + milliseconds(*rc::gen::inRange(0, 20'000));
    }
    std::uint64_t draw = *rc::gen::arbitrary<std::uint64_t>();
    int crashed = 0;
    time_point third = time_point::max();
    std::size_t more = 0;
    for (int step = 0; step < 1200; ++step) {
      const auto now = At(0) + step * kStep;
      hosts.Tick(now, delay);
      if (step % joins_every == joins_every - 1) {
        hosts.Join(now);
      }
      if (step % pause != 0) {
        continue;
      }
      draw = StableHash(std::to_string(draw));
      const auto index = draw % hosts.Size();
      auto& host = hosts.Host(index);
      if (host.quarantine.Refuses(kContent, now) &&
          !host.quarantine.TakeTrial(kContent, now)) {
        continue;
      }
      const bool in_touch =
          now - host.started > kSettle &&
          (now < host.parted_from || now >= host.parted_until + kSettle);
      if (third != time_point::max() && now > third + kSettle && in_touch) {
        ++more;
      }
      hosts.Crash(index, Crash(crashed, {kContent, draw}), now);
      if (++crashed == 3) {
        third = now;
      }
    }
    RC_ASSERT(more <= kMoreAllowed);
  }));
}

// A request that many send, and that was served before, runs on endpoints that
// crash for a reason of their own.
void content_quarantine_test::
    EqualRequestsAreServedWhileEndpointsCrashForAnotherReason() {
  CPPUNIT_ASSERT(rc::check("equal requests go on", [] {
    fleet hosts(*rc::gen::inRange<std::size_t>(1, 12));
    const milliseconds delay(*rc::gen::inRange(0, kLongestDelay));
    const int pause = *rc::gen::inRange(1, 8);
    const auto crash_share = *rc::gen::inRange<std::uint64_t>(0, 60);
    std::uint64_t draw = *rc::gen::arbitrary<std::uint64_t>();
    int crashed = 0;
    std::size_t sent = 0;
    std::size_t refused = 0;
    hosts.Host(0).quarantine.NoteServed(kContent, At(0));
    for (int step = 0; step < 1200; ++step) {
      const auto now = At(0) + step * kStep;
      hosts.Tick(now, delay);
      if (step % pause != 0) {
        continue;
      }
      draw = StableHash(std::to_string(draw));
      const auto index = draw % hosts.Size();
      auto& quarantine = hosts.Host(index).quarantine;
      ++sent;
      if (quarantine.Refuses(kContent, now)) {
        ++refused;
      } else if (draw / 1000 % 100 < crash_share) {
        hosts.Crash(index, Crash(crashed++, {kContent, draw}), now);
      } else {
        quarantine.NoteServed(kContent, now);
      }
    }
    RC_ASSERT(refused * 10 <= sent);
  }));
}

CPPUNIT_TEST_SUITE_REGISTRATION(content_quarantine_test);

}  // namespace
}  // namespace slatestall
