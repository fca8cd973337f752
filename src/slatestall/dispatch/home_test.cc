#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/dispatch/home_health.h"
#include "slatestall/dispatch/home_ranking.h"
#include "slatestall/dispatch/result_room.h"

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};

std::vector<home_candidate> Hosts(int count) {
  std::vector<home_candidate> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back({"h" + std::to_string(i), i == 0 ? 4.0 : 1.0});
  }
  return hosts;
}

class home_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(home_test);
  CPPUNIT_TEST(AllHostsRankAlikeWhateverTheOrderOfTheList);
  CPPUNIT_TEST(AHostThatGoesMovesOnlyItsOwnShards);
  CPPUNIT_TEST(WeightGetsItsShare);
  CPPUNIT_TEST(WeakHostsAreHomesOnlyWhereNoOtherIsLeft);
  CPPUNIT_TEST(ALastStagesHomeIsAmpleWhateverItsServiceIsCalled);
  CPPUNIT_TEST(AHostIsTrustedOnceItHasAnswered);
  CPPUNIT_TEST(APausedHostIsNoticedThoughItsConnectionsStand);
  CPPUNIT_TEST(ADrainingHostIsNoHome);
  CPPUNIT_TEST(RoomComesBackWhenFreedOrExpired);
  CPPUNIT_TEST(AHandleIsOfOnePieceUntilItIsFreedOrExpires);
  CPPUNIT_TEST(ANewRunHoldsNoResultsOfTheOldOne);
  CPPUNIT_TEST_SUITE_END();

  void AllHostsRankAlikeWhateverTheOrderOfTheList() {
    auto hosts = Hosts(9);
    const auto ranked = RankHomes("s/a", hosts);
    std::reverse(hosts.begin(), hosts.end());
    CPPUNIT_ASSERT(ranked == RankHomes("s/a", hosts));
  }

  void AHostThatGoesMovesOnlyItsOwnShards() {
    const auto all = Hosts(9);
    auto fewer = all;
    fewer.erase(fewer.begin() + 4);
    for (int shard = 0; shard < 60; ++shard) {
      const auto name = std::to_string(shard);
      const auto before = RankHomes(name, all).front();
      if (before != "h4") {
        CPPUNIT_ASSERT_EQUAL(before, RankHomes(name, fewer).front());
      }
    }
  }

  void WeightGetsItsShare() {
    std::map<std::string, int> counts;
    for (int shard = 0; shard < 1200; ++shard) {
      ++counts[RankHomes(std::to_string(shard), Hosts(9)).front()];
    }
    // A third of the weight.
    CPPUNIT_ASSERT(counts["h0"] > 320 && counts["h0"] < 480);
  }

  // Eight ample hosts and 78 on links of a twentieth. By weight alone every
  // fifth shard has one of the 78 for its home, where all calls of a service
  // queue on the link: its requests are late all day, also in calm seconds.
  void WeakHostsAreHomesOnlyWhereNoOtherIsLeft() {
    constexpr int kHosts = 86;
    std::vector<home_candidate> hosts;
    hosts.reserve(kHosts);
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back({"h" + std::to_string(i), i < 8 ? 0.5 : 0.012});
    }
    for (int shard = 0; shard < 200; ++shard) {
      const auto ranked = RankHomes(std::to_string(shard), hosts);
      CPPUNIT_ASSERT_EQUAL(hosts.size(), ranked.size());
      for (std::size_t i = 0; i < 8; ++i) {
        CPPUNIT_ASSERT(std::stoi(ranked[i].substr(1)) < 8);
      }
    }
    hosts.erase(hosts.begin(), hosts.begin() + 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{78}, RankHomes("s", hosts).size());
  }

  // Too few chat replies came in time, all day. The name of their last stage's
  // service drew a host on a link of 10 Mbit/s for its home, since it stands
  // first by weight alone; bookings and pieces of all hosts queued there. Its
  // home is an ample host, and when that one stops, another.
  void ALastStagesHomeIsAmpleWhateverItsServiceIsCalled() {
    const std::vector<std::pair<std::string, int>> domains = {
        {"ikeja-a", 15}, {"ikeja-b", 15}, {"lekki-a", 18}, {"lekki-b", 16}};
    std::vector<home_candidate> hosts;
    for (const auto& [domain, count] : domains) {
      for (int i = 1; i <= count; ++i) {
        hosts.push_back(
            {"edge-" + domain + "-" + std::to_string(i), i <= 2 ? 0.5 : 0.012});
      }
    }
    disabled_mechanisms by_weight_alone;
    by_weight_alone.Add(mechanism::kWeakHostsLast);
    CPPUNIT_ASSERT_EQUAL(std::string("edge-ikeja-a-14"),
                         RankHomes("leye97e/", hosts, by_weight_alone).front());
    const auto ranked = RankHomes("leye97e/", hosts);
    CPPUNIT_ASSERT_EQUAL(std::string("edge-lekki-a-2"), ranked[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("edge-lekki-b-2"), ranked[1]);
  }

  void AHostIsTrustedOnceItHasAnswered() {
    home_health health;
    CPPUNIT_ASSERT(!health.IsTrusted("h"));
    CPPUNIT_ASSERT(health.IsDue("h", kStart));
    health.NoteAsked("h", kStart);
    CPPUNIT_ASSERT(!health.IsDue("h", kStart));
    health.NoteAnswer("h", false, kStart + milliseconds(2));
    CPPUNIT_ASSERT(health.IsTrusted("h"));
    health.NoteFailure("h", kStart + milliseconds(10));
    CPPUNIT_ASSERT(!health.IsTrusted("h"));
  }

  // The home is suspended. Its connections stay open and take what is sent;
  // only the answer that does not come shows it. The pieces that wait there
  // must be placed elsewhere well within a request's objective.
  void APausedHostIsNoticedThoughItsConnectionsStand() {
    home_health health;
    health.NoteAsked("h", kStart);
    health.NoteAnswer("h", false, kStart);
    const time_point asked = kStart + milliseconds(250);
    CPPUNIT_ASSERT(health.IsDue("h", asked));
    health.NoteAsked("h", asked);
    CPPUNIT_ASSERT(health.Overdue(asked + milliseconds(400)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         health.Overdue(asked + milliseconds(500)).size());
  }

  void ADrainingHostIsNoHome() {
    home_health health;
    health.NoteAnswer("h", true, kStart);
    CPPUNIT_ASSERT(!health.IsTrusted("h"));
  }

  void ANewRunHoldsNoResultsOfTheOldOne() {
    result_room room;
    room.NoteMade({"e", 1000}, "x/1", 1, 100, kStart, std::chrono::seconds(4));
    CPPUNIT_ASSERT(room.Used({"e", 2000}, kStart) == 0);
    room.NoteMade({"e", 2000}, "x/2", 2, 50, kStart, std::chrono::seconds(4));
    room.NoteFreed("x/1");
    CPPUNIT_ASSERT(room.Used({"e", 2000}, kStart) == 50);
  }

  // Guards against a result that is handed to two requests.
  void AHandleIsOfOnePieceUntilItIsFreedOrExpires() {
    constexpr std::uint64_t kPiece = 7;
    constexpr std::uint64_t kOther = 8;
    const auto expiry = kStart + std::chrono::seconds(4);
    result_room room;
    const auto make = [&] {
      room.NoteMade({"e"}, "x/1", kPiece, 100, kStart, std::chrono::seconds(4));
    };
    CPPUNIT_ASSERT(!room.IsOfAnother("x/1", kOther, kStart));
    make();
    make();
    CPPUNIT_ASSERT(room.Used({"e"}, kStart) == 100);
    CPPUNIT_ASSERT(!room.IsOfAnother("x/1", kPiece, kStart));
    CPPUNIT_ASSERT(room.IsOfAnother("x/1", kOther, kStart));
    CPPUNIT_ASSERT(!room.IsOfAnother("x/1", kOther, expiry));
    make();
    room.NoteFreed("x/1");
    CPPUNIT_ASSERT(!room.IsOfAnother("x/1", kOther, kStart));
  }

  void RoomComesBackWhenFreedOrExpired() {
    result_room room;
    room.NoteMade({"e"}, "x/1", 1, 100, kStart, std::chrono::seconds(4));
    room.NoteMade({"e"}, "x/2", 2, 50, kStart, std::chrono::seconds(4));
    CPPUNIT_ASSERT(room.Used({"e"}, kStart) == 150);
    room.NoteFreed("x/1");
    room.NoteFreed("x/1");
    CPPUNIT_ASSERT(room.Used({"e"}, kStart) == 50);
    CPPUNIT_ASSERT(room.Used({"e"}, kStart + std::chrono::seconds(4)) == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(home_test);

}  // namespace
}  // namespace slatestall
