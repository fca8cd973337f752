#include "slatestall/dispatch/endpoint_pick.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

#include "slatestall/dispatch/endpoint_roster.h"

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};

std::vector<known_endpoint> Endpoints(int count) {
  std::vector<known_endpoint> listed;
  for (int i = 0; i < count; ++i) {
    known_endpoint endpoint;
    endpoint.id = "e" + std::to_string(i);
    endpoint.service = "engines";
    endpoint.address = {asio::ip::make_address("127.0.0.1"),
                        static_cast<std::uint16_t>(9000 + i)};
    endpoint.failure_domain = i % 2 == 0 ? "a" : "b";
    endpoint.slots = 4;
    listed.push_back(endpoint);
  }
  return listed;
}

class endpoint_pick_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_pick_test);
  CPPUNIT_TEST(ASharedPromptStaysWithItsHomesWhileTheyAreNotBusier);
  CPPUNIT_TEST(AHotPromptSpillsOver);
  CPPUNIT_TEST(AFailingEndpointGetsLittle);
  CPPUNIT_TEST(NoneLeftIsSaid);
  CPPUNIT_TEST(ALeavingEndpointGetsNothing);
  CPPUNIT_TEST(TheLastOneIsTriedAlthoughItFailed);
  CPPUNIT_TEST(AReplacedListKeepsWhatIsKnown);
  CPPUNIT_TEST(ANewRunUnderAnOldIdStartsWithoutAPast);
  CPPUNIT_TEST(ColdEndpointsAreLeftAloneWhileWarmOnesHaveRoom);
  CPPUNIT_TEST(ColdEndpointsGetWhatTheyMayWhereWarmOnesAreFull);
  CPPUNIT_TEST(WithNothingWarmOnlyWhatIsAllowedIsUsed);
  CPPUNIT_TEST(AnEndpointOnASlowMachineIsPassedByWhileThatIsFresh);
  CPPUNIT_TEST(AWrongPaceIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { roster_.Replace(Endpoints(8)); }

 private:
  endpoint_record_ptr Pick(std::uint64_t prompt = 0, int ms = 0) {
    pick_request request;
    request.now = kStart + milliseconds(ms);
    request.shared_prompt = prompt;
    return PickEndpoint(roster_.Of("engines"), request);
  }

  // Guards against work for a machine that others keep busy, and against an
  // endpoint that stays unused for a report of a moment ago.
  void AnEndpointOnASlowMachineIsPassedByWhileThatIsFresh() {
    roster_.Replace(Endpoints(2));
    const auto& all = roster_.Of("engines");
    all[0]->NoteLoad({0, 0, 4, kStart, 2.5});
    all[1]->NoteLoad({0, 0, 4, kStart});
    for (int ms = 0; ms < 300; ms += 10) {
      CPPUNIT_ASSERT(Pick(0, ms) == all[1]);
    }
    std::set<endpoint_record_ptr> picked;
    for (int ms = 300; ms < 400; ++ms) {
      picked.insert(Pick(0, ms));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, picked.size());
  }

  void AWrongPaceIsBounded() {
    roster_.Replace(Endpoints(1));
    const auto& record = roster_.Of("engines").front();
    record->NoteLoad({0, 0, 4, kStart, 1000.0});
    CPPUNIT_ASSERT_EQUAL(5.0, record->Pace(kStart));
    record->NoteLoad({0, 0, 4, kStart, 0.01});
    CPPUNIT_ASSERT_EQUAL(0.2, record->Pace(kStart));
    record->NoteLoad({0, 0, 4, kStart});
    CPPUNIT_ASSERT_EQUAL(1.0, record->Pace(kStart));
  }

  // An endpoint failed three calls, crashed and starts again under its id. Left
  // alone for what its last run did, or passed over as one that this request
  // has tried, it would stand idle while the others queue.
  void ANewRunUnderAnOldIdStartsWithoutAPast() {
    auto listed = Endpoints(2);
    listed[1].started_ms = 1000;
    roster_.Replace(listed);
    const auto old = roster_.Find("e1");
    for (int i = 0; i < 3; ++i) {
      old->NoteStart();
      old->NoteEnd(call_lesson::kFailed, kStart);
    }
    listed[1].started_ms = 2000;
    roster_.Replace(listed);
    const auto renewed = roster_.Find("e1");
    CPPUNIT_ASSERT(renewed != old);
    CPPUNIT_ASSERT(!old->Usable());
    CPPUNIT_ASSERT(renewed->Usable() && !renewed->Avoided(kStart));
    CPPUNIT_ASSERT_EQUAL(0.0, renewed->FailureShare());
    pick_request request;
    request.now = kStart;
    request.tried = {listed[0].Incarnation(), old->Info().Incarnation()};
    CPPUNIT_ASSERT(PickEndpoint(roster_.Of("engines"), request) == renewed);
  }

  /// Endpoints from `first` on are cold, and `allowed` may get a call.
  endpoint_record_ptr PickBeside(int first,
                                 const std::set<std::string>& allowed,
                                 std::uint64_t prompt = 0) {
    auto listed = Endpoints(8);
    for (std::size_t i = static_cast<std::size_t>(first); i < 8; ++i) {
      listed[i].cold_until = kStart + std::chrono::seconds(3);
    }
    roster_.Replace(listed);
    pick_request request;
    request.now = kStart;
    request.shared_prompt = prompt;
    request.may_use_cold = [&allowed](const endpoint_record& record) {
      return allowed.contains(record.Info().id);
    };
    return PickEndpoint(roster_.Of("engines"), request);
  }

  // A domain that comes back cold is the emptiest to all hosts at once.
  void ColdEndpointsAreLeftAloneWhileWarmOnesHaveRoom() {
    for (int i = 0; i < 4; ++i) {
      for (int calls = 0; calls < 3; ++calls) {
        roster_.Find("e" + std::to_string(i))->NoteStart();
      }
    }
    for (std::uint64_t prompt = 0; prompt < 40; ++prompt) {
      const auto picked = PickBeside(4, {"e4", "e5", "e6", "e7"}, prompt);
      CPPUNIT_ASSERT(picked->Info().id < "e4");
    }
  }

  void ColdEndpointsGetWhatTheyMayWhereWarmOnesAreFull() {
    for (int i = 0; i < 4; ++i) {
      for (int calls = 0; calls < 4; ++calls) {
        roster_.Find("e" + std::to_string(i))->NoteStart();
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string("e5"), PickBeside(4, {"e5"})->Info().id);
    // None may be used: the warm ones have to do.
    CPPUNIT_ASSERT(PickBeside(4, {})->Info().id < "e4");
  }

  void WithNothingWarmOnlyWhatIsAllowedIsUsed() {
    CPPUNIT_ASSERT_EQUAL(std::string("e3"), PickBeside(0, {"e3"})->Info().id);
    CPPUNIT_ASSERT(!PickBeside(0, {}));
  }

  void ASharedPromptStaysWithItsHomesWhileTheyAreNotBusier() {
    std::set<std::string> homes;
    for (int i = 0; i < 50; ++i) {
      homes.insert(Pick(77, i)->Info().id);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, homes.size());
  }

  // The load: all requests are about one prompt. Its home would be asked for
  // everything while the others stand idle.
  void AHotPromptSpillsOver() {
    std::map<std::string, int> counts;
    for (int i = 0; i < 80; ++i) {
      const auto picked = Pick(77, i);
      picked->NoteStart();
      ++counts[picked->Info().id];
    }
    CPPUNIT_ASSERT(counts.size() >= 7);
    for (const auto& [id, count] : counts) {
      CPPUNIT_ASSERT_MESSAGE(id, count <= 20);
    }
  }

  // One endpoint fails half of its calls while it answers health checks. It
  // must be known by the answers themselves.
  void AFailingEndpointGetsLittle() {
    int failing = 0;
    for (int i = 0; i < 400; ++i) {
      const auto now = kStart + milliseconds(20 * i);
      const auto picked = Pick(0, 20 * i);
      const bool is_bad = picked->Info().id == "e3";
      failing += is_bad ? 1 : 0;
      picked->NoteStart();
      picked->NoteEnd(
          is_bad && i % 2 == 0 ? call_lesson::kFailed : call_lesson::kAnswered,
          now);
    }
    CPPUNIT_ASSERT(failing < 400 / 8 / 2);
  }

  void NoneLeftIsSaid() {
    pick_request request;
    request.now = kStart;
    for (const auto& endpoint : Endpoints(8)) {
      request.tried.push_back(endpoint.Incarnation());
    }
    CPPUNIT_ASSERT(!PickEndpoint(roster_.Of("engines"), request));
    CPPUNIT_ASSERT(!PickEndpoint(roster_.Of("unknown"), request));
  }

  void ALeavingEndpointGetsNothing() {
    auto listed = Endpoints(2);
    listed[0].leaving = true;
    roster_.Replace(listed);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("e1"), Pick(0, i)->Info().id);
    }
    roster_.Find("e1")->MarkGone();
    CPPUNIT_ASSERT(!Pick());
  }

  void TheLastOneIsTriedAlthoughItFailed() {
    roster_.Replace(Endpoints(1));
    const auto only = Pick();
    only->NoteStart();
    only->NoteEnd(call_lesson::kFailed, kStart);
    CPPUNIT_ASSERT(only->Avoided(kStart + milliseconds(1)));
    CPPUNIT_ASSERT(Pick(0, 1) == only);
  }

  void AReplacedListKeepsWhatIsKnown() {
    const auto before = roster_.Find("e1");
    before->NoteStart();
    roster_.Replace(Endpoints(3));
    CPPUNIT_ASSERT(roster_.Find("e1") == before);
    CPPUNIT_ASSERT(!roster_.Find("e5"));
    CPPUNIT_ASSERT(roster_.FindAt("127.0.0.1:9001") == before);
  }

  endpoint_roster roster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_pick_test);

}  // namespace
}  // namespace slatestall
