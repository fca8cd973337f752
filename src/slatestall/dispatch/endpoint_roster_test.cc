#include "slatestall/dispatch/endpoint_roster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_pick.h"

namespace slatestall {
namespace {

constexpr int kIds = 4;
constexpr time_point kStart{std::chrono::seconds(1000)};

known_endpoint Listed(const std::string& id, std::int64_t started_ms = 1) {
  known_endpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = started_ms;
  endpoint.service = "s";
  endpoint.address = {asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(9000 + id.back())};
  endpoint.slots = 4;
  return endpoint;
}

/// Lists that a lagging, lost or restored store may give, in any order, and
/// answers in between. Starts only grow, as in `endpoint_listing`.
struct listed_world {
  std::map<std::string, std::int64_t> starts;
  std::set<endpoint_incarnation> leaving;
  std::set<endpoint_incarnation> known;
  endpoint_roster roster;

  std::string DrawId() const {
    return "i-" + std::to_string(*rc::gen::inRange(0, kIds));
  }

  void Relist() {
    std::vector<known_endpoint> all;
    for (int i = 0; i < kIds; ++i) {
      const auto id = "i-" + std::to_string(i);
      if (*rc::gen::arbitrary<bool>()) {
        all.push_back(Listed(id, starts[id]));
        known.insert({id, starts[id]});
      }
    }
    roster.Replace(all);
  }

  void Answer() {
    const auto id = DrawId();
    const endpoint_incarnation run{id, starts[id]};
    roster.NoteLeaving(run);
    if (known.contains(run)) {
      leaving.insert(run);
    }
  }

  void Check() const {
    for (const auto& record : roster.Of("s")) {
      const auto run = record->Info().Incarnation();
      RC_ASSERT(record->Usable() == !leaving.contains(run));
      const auto at = roster.FindAt(AddressText(record->Info()));
      RC_ASSERT((at == nullptr) == leaving.contains(run));
    }
  }
};

class endpoint_roster_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_roster_test);
  CPPUNIT_TEST(AnOlderListDoesNotBringALeavingEndpointBack);
  CPPUNIT_TEST(AnEntryThatComesBackIsStillOfALeavingEndpoint);
  CPPUNIT_TEST(AnAnswerAfterTheEntryHasGoneCounts);
  CPPUNIT_TEST(OneThatLeftTheListTakesNoCallThatChoseItBefore);
  CPPUNIT_TEST(ANewRunUnderTheSameIdIsUsed);
  CPPUNIT_TEST(WhatOnlyAnswersReportedIsKnownAsSuch);
  CPPUNIT_TEST(NoOrderOfListsAndAnswersBringsALeavingEndpointBack);
  CPPUNIT_TEST(AServiceOpensWithItsFirstEndpoint);
  CPPUNIT_TEST(NoListEndsABackOff);
  CPPUNIT_TEST(NoEndpointIsChosenBeforeItsRetryAfter);
  CPPUNIT_TEST_SUITE_END();

  // Other hosts kept using an endpoint whose answer only one had received.
  void WhatOnlyAnswersReportedIsKnownAsSuch() {
    using runs = std::vector<endpoint_incarnation>;
    roster_.Replace({Listed("i-1"), Listed("i-2")});
    roster_.NoteLeaving({"i-1", 1});
    CPPUNIT_ASSERT((roster_.ReportedLeaving() == runs{{"i-1", 1}}));
    roster_.Replace({Listed("i-2")});
    CPPUNIT_ASSERT(roster_.ReportedLeaving().empty());
    roster_.NoteLeaving({"i-2", 1});
    roster_.Replace({Listed("i-1"), Listed("i-2")});
    CPPUNIT_ASSERT((roster_.ReportedLeaving() == runs{{"i-1", 1}, {"i-2", 1}}));
    auto leaving = Listed("i-1");
    leaving.leaving = true;
    roster_.Replace({leaving, Listed("i-2", 2)});
    CPPUNIT_ASSERT(roster_.ReportedLeaving().empty());
  }

  // The store lags behind the endpoint's answer and lists it as ready.
  void AnOlderListDoesNotBringALeavingEndpointBack() {
    roster_.Replace({Listed("i-1")});
    CPPUNIT_ASSERT(roster_.NoteLeaving({"i-1", 1}) != nullptr);
    CPPUNIT_ASSERT(roster_.NoteLeaving({"i-1", 1}) == nullptr);
    roster_.Replace({Listed("i-1"), Listed("i-2")});
    CPPUNIT_ASSERT(!roster_.Find("i-1")->Usable());
    CPPUNIT_ASSERT(roster_.Find("i-2")->Usable());
  }

  // The entry lapses while the store is down, and is there again afterwards.
  void AnEntryThatComesBackIsStillOfALeavingEndpoint() {
    roster_.Replace({Listed("i-1")});
    roster_.NoteLeaving({"i-1", 1});
    roster_.Replace({});
    roster_.Replace({Listed("i-1")});
    CPPUNIT_ASSERT(!roster_.Find("i-1")->Usable());
    CPPUNIT_ASSERT(!roster_.HasUsable("s"));
  }

  // A call outlasts the entry, and its answer reports that the endpoint leaves.
  void AnAnswerAfterTheEntryHasGoneCounts() {
    roster_.Replace({Listed("i-1")});
    roster_.Replace({});
    CPPUNIT_ASSERT(roster_.NoteLeaving({"i-1", 1}) != nullptr);
    roster_.Replace({Listed("i-1")});
    CPPUNIT_ASSERT(!roster_.Find("i-1")->Usable());
  }

  // A call whose connection was being made was sent to an endpoint that had
  // left.
  void OneThatLeftTheListTakesNoCallThatChoseItBefore() {
    roster_.Replace({Listed("i-1")});
    const auto chosen = roster_.Find("i-1");
    roster_.Replace({});
    CPPUNIT_ASSERT(!chosen->TakesCalls(kStart));
    // Its entry had only lapsed.
    roster_.Replace({Listed("i-1")});
    CPPUNIT_ASSERT(chosen->TakesCalls(kStart));
  }

  // The endpoint has left and started again under its id: it would stay unused.
  void ANewRunUnderTheSameIdIsUsed() {
    roster_.Replace({Listed("i-1", 1)});
    roster_.NoteLeaving({"i-1", 1});
    roster_.Replace({Listed("i-1", 2)});
    CPPUNIT_ASSERT(roster_.Find("i-1")->Usable());
    // A late answer of the run before says nothing of this one.
    roster_.NoteLeaving({"i-1", 1});
    CPPUNIT_ASSERT(roster_.Find("i-1")->Usable());
  }

  // Any order of lists, missing entries, new runs and answers.
  void NoOrderOfListsAndAnswersBringsALeavingEndpointBack() {
    CPPUNIT_ASSERT(rc::check("a leaving endpoint stays unused", [] {
      listed_world world;
      world.Relist();
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        switch (*rc::gen::inRange(0, 4)) {
          case 0:
            world.Answer();
            break;
          case 1:
            ++world.starts[world.DrawId()];
            break;
          default:
            world.Relist();
        }
        world.Check();
      }
    }));
  }

  // Callers would be sent back before or long after there is an endpoint.
  void AServiceOpensWithItsFirstEndpoint() {
    roster_.Replace({Listed("i-1"), Listed("i-2"), Listed("i-3")});
    CPPUNIT_ASSERT(*roster_.OpensAt("s", {}) <= kStart);
    roster_.Find("i-1")->NoteBackOff(kStart + std::chrono::seconds(3));
    roster_.Find("i-2")->NoteBackOff(kStart + std::chrono::seconds(2));
    roster_.NoteLeaving({"i-3", 1});
    CPPUNIT_ASSERT(*roster_.OpensAt("s", {}) ==
                   kStart + std::chrono::seconds(2));
    CPPUNIT_ASSERT(!roster_.OpensAt("s", [](const auto&) { return false; }));
    CPPUNIT_ASSERT(!roster_.OpensAt("other", {}));
  }

  // Its entry changes, lapses and comes back within the time.
  void NoListEndsABackOff() {
    roster_.Replace({Listed("i-1")});
    roster_.Find("i-1")->NoteBackOff(kStart + std::chrono::seconds(3));
    roster_.Find("i-1")->NoteBackOff(kStart + std::chrono::seconds(1));
    roster_.Replace({Listed("i-1"), Listed("i-2")});
    roster_.Replace({});
    roster_.Replace({Listed("i-1")});
    const auto record = roster_.Find("i-1");
    CPPUNIT_ASSERT(!record->TakesCalls(kStart + milliseconds(2999)));
    CPPUNIT_ASSERT(record->TakesCalls(kStart + std::chrono::seconds(3)));
  }

  // Any order of refusals, choices and lists.
  void NoEndpointIsChosenBeforeItsRetryAfter() {
    CPPUNIT_ASSERT(rc::check("a back-off holds to its end", [] {
      listed_world world;
      world.Relist();
      std::map<endpoint_incarnation, time_point> until;
      time_point now = kStart;
      const int steps = *rc::gen::inRange(1, 60);
      for (int i = 0; i < steps; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 1500));
        if (*rc::gen::inRange(0, 3) == 0) {
          world.Relist();
        }
        pick_request request;
        request.now = now;
        const auto picked = PickEndpoint(world.roster.Of("s"), request);
        const auto opens = world.roster.OpensAt("s", {});
        RC_ASSERT((picked != nullptr) == (opens && *opens <= now));
        if (!picked) {
          continue;
        }
        auto& named = until[picked->Info().Incarnation()];
        RC_ASSERT(now >= named);
        if (*rc::gen::arbitrary<bool>()) {
          named = now + milliseconds(*rc::gen::inRange(1, 5000));
          picked->NoteBackOff(named);
        }
      }
    }));
  }

  endpoint_roster roster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_roster_test);

}  // namespace
}  // namespace slatestall
