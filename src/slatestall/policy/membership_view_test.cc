#include "slatestall/policy/membership_view.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace slatestall {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

time_point At(int second) { return time_point(seconds(1000 + second)); }

member_digest Digest(const std::string& host, std::uint32_t generation,
                     std::uint64_t incarnation, std::uint32_t sequence) {
  member_digest digest;
  digest.host = host;
  digest.version = {generation, incarnation, sequence};
  digest.peer_address = host + ":8081";
  return digest;
}

std::vector<listed_member> List(int hosts) {
  std::vector<listed_member> list;
  for (int i = 0; i < hosts; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    list.push_back({name, name + ":8081", "suva-a", false});
  }
  return list;
}

membership_view NewView() {
  return {Digest("entry-0", 100, 7, 0), membership_options(), At(0)};
}

void Fail(membership_view& view, const std::string& host, int second) {
  view.ContactFailed(host, At(second));
  view.ContactFailed(host, At(second + 1));
}

class membership_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(membership_view_test);
  CPPUNIT_TEST(ListLagsBehindNewAndLeavingHosts);
  CPPUNIT_TEST(EmptyListChangesNothing);
  CPPUNIT_TEST(NewestWordWinsInAnyOrder);
  CPPUNIT_TEST(FormerRunIsOverOnlyOnceSettled);
  CPPUNIT_TEST(RunWithASlowClockOutrunsItsFormerRun);
  CPPUNIT_TEST(SuspectIsRefutedByItsNextWord);
  CPPUNIT_TEST(OneWayCutIsReportedOnce);
  CPPUNIT_TEST(CutOffHostDoubtsItself);
  CPPUNIT_TEST(PartedRegionStaysKnownForAnHour);
  CPPUNIT_TEST(SuccessorOutlivesTheDrainedHost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListLagsBehindNewAndLeavingHosts() {
    membership_view view = NewView();
    view.UseList(List(3), At(0));
    CPPUNIT_ASSERT(view.TakeDigest(Digest("entry-9", 100, 9, 1), At(1)));
    CPPUNIT_ASSERT_EQUAL(4U, view.KnownHosts());
    member_digest draining = Digest("entry-1", 100, 11, 5);
    draining.draining = true;
    view.TakeDigest(draining, At(2));
    CPPUNIT_ASSERT(view.Find("entry-1")->state == member_state::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.LiveHosts().size());
    auto list = List(3);
    list[2].leaving = true;
    view.UseList(list, At(3));
    CPPUNIT_ASSERT(view.Find("entry-2")->state == member_state::kDraining);
    // Off the list and silent: gone only once nobody has heard of it.
    view.Tick(At(200));
    CPPUNIT_ASSERT(view.Find("entry-9")->state == member_state::kLive);
    view.Tick(At(302));
    CPPUNIT_ASSERT(view.Find("entry-9")->state == member_state::kGone);
  }

  // The platform's list fails in a way that looks like an answer. A host that
  // believed it would take the whole of every limit for itself.
  void EmptyListChangesNothing() {
    membership_view view = NewView();
    view.UseList(List(5), At(0));
    view.UseList({}, At(1));
    CPPUNIT_ASSERT_EQUAL(5U, view.KnownHosts());
  }

  void NewestWordWinsInAnyOrder() {
    const bool holds = rc::check(
        "the order of relayed words does not matter",
        [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& words,
           std::uint32_t seed) {
          std::vector<member_digest> said;
          for (const auto& [run, sequence] : words) {
            // A run has one incarnation and one generation.
            said.push_back(Digest("entry-1", 100U + run % 4U, 50U + run % 4U,
                                  1U + sequence));
            said.back().revision = sequence;
          }
          auto shuffled = said;
          std::mt19937 random(seed);
          std::shuffle(shuffled.begin(), shuffled.end(), random);
          membership_view first = NewView();
          membership_view second = NewView();
          for (std::size_t i = 0; i < said.size(); ++i) {
            first.TakeDigest(said[i], At(1));
            second.TakeDigest(shuffled[i], At(1));
          }
          if (!said.empty()) {
            const member_digest& a = first.Find("entry-1")->digest;
            const member_digest& b = second.Find("entry-1")->digest;
            RC_ASSERT(a.version == b.version);
            RC_ASSERT(a.revision == b.revision);
            for (const member_digest& digest : said) {
              RC_ASSERT(digest.version <= a.version);
            }
          }
        });
    CPPUNIT_ASSERT(holds);
  }

  // A claim names a run this host never heard of. It may be the former run,
  // or a new one whose word is still on its way; only time tells.
  void FormerRunIsOverOnlyOnceSettled() {
    membership_view view = NewView();
    view.UseList(List(2), At(0));
    CPPUNIT_ASSERT(!view.HasEnded({"entry-1", 10}, At(0)));
    view.TakeDigest(Digest("entry-1", 200, 11, 1), At(1));
    CPPUNIT_ASSERT(!view.HasEnded({"entry-1", 10}, At(5)));
    CPPUNIT_ASSERT(view.HasEnded({"entry-1", 10}, At(40)));
    CPPUNIT_ASSERT(!view.HasEnded({"entry-1", 11}, At(40)));
    // The former run wakes up and speaks: it stays over.
    CPPUNIT_ASSERT(!view.TakeDigest(Digest("entry-1", 150, 10, 9), At(41)));
    CPPUNIT_ASSERT(view.HasEnded({"entry-1", 10}, At(41)));
  }

  // A host comes back on a machine whose clock is behind. The others hold a
  // newer word of its former run and would ignore it for good; it hears of
  // that word and passes it.
  void RunWithASlowClockOutrunsItsFormerRun() {
    membership_view others(Digest("entry-1", 100, 8, 0), membership_options(),
                           At(0));
    others.TakeDigest(Digest("entry-0", 500, 6, 40), At(0));
    membership_view restarted = NewView();
    CPPUNIT_ASSERT(!others.TakeDigest(restarted.Self().digest, At(1)));
    restarted.TakeDigest(others.Find("entry-0")->digest, At(1));
    CPPUNIT_ASSERT(others.TakeDigest(restarted.Self().digest, At(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         others.Find("entry-0")->digest.version.incarnation);
  }

  void SuspectIsRefutedByItsNextWord() {
    membership_view accused = NewView();
    membership_view other(Digest("entry-1", 100, 8, 0), membership_options(),
                          At(0));
    other.TakeDigest(accused.Self().digest, At(0));
    other.TakeSuspicion("entry-0", accused.Self().digest.version, At(1));
    CPPUNIT_ASSERT(other.Find("entry-0")->state == member_state::kSuspect);
    CPPUNIT_ASSERT_EQUAL(2U, other.KnownHosts());
    CPPUNIT_ASSERT_EQUAL(1U, other.ReachableHosts());
    CPPUNIT_ASSERT(
        accused.TakeSuspicion("entry-0", accused.Self().digest.version, At(2)));
    CPPUNIT_ASSERT(other.TakeDigest(accused.Self().digest, At(3)));
    CPPUNIT_ASSERT(other.Find("entry-0")->state == member_state::kLive);
  }

  // Only the way from this host to another is cut; others reach it. Reported
  // again after each refutation, it would flap for the whole fleet.
  void OneWayCutIsReportedOnce() {
    membership_view view = NewView();
    view.UseList(List(5), At(0));
    view.TakeDigest(Digest("entry-1", 100, 11, 1), At(0));
    CPPUNIT_ASSERT(!view.ContactFailed("entry-1", At(1)));
    CPPUNIT_ASSERT(view.ContactFailed("entry-1", At(2)));
    view.TakeDigest(Digest("entry-1", 100, 11, 2), At(3));
    CPPUNIT_ASSERT(view.Find("entry-1")->state == member_state::kLive);
    for (int second = 30; second < 300; second += 30) {
      CPPUNIT_ASSERT(!view.ContactFailed("entry-1", At(second)));
      CPPUNIT_ASSERT(view.Find("entry-1")->state == member_state::kLive);
      CPPUNIT_ASSERT(!view.Find("entry-1")->reachable);
    }
  }

  // A host's own network breaks. It must not call the others dead one by one,
  // for its answers to their calls may still get through and be believed.
  void CutOffHostDoubtsItself() {
    membership_view view = NewView();
    view.UseList(List(10), At(0));
    for (int i = 1; i < 10; ++i) {
      view.ContactFailed("entry-" + std::to_string(i), At(1));
    }
    for (int i = 1; i < 10; ++i) {
      CPPUNIT_ASSERT(!view.ContactFailed("entry-" + std::to_string(i), At(2)));
    }
    CPPUNIT_ASSERT_EQUAL(10U, view.KnownHosts());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, view.LiveHosts().size());
  }

  // A region is out of reach for an hour while the list still has it: its
  // hosts go on admitting, so they keep their part of every limit. Then it
  // comes back, and each host's next word clears it.
  void PartedRegionStaysKnownForAnHour() {
    membership_view view = NewView();
    view.UseList(List(8), At(0));
    for (int i = 4; i < 8; ++i) {
      view.TakeDigest(Digest("entry-" + std::to_string(i), 100, 50, 1), At(0));
      view.ContactSucceeded("entry-1", At(1));
      Fail(view, "entry-" + std::to_string(i), 1);
    }
    for (int second = 10; second < 3600; second += 10) {
      view.Tick(At(second));
      view.UseList(List(8), At(second));
    }
    CPPUNIT_ASSERT_EQUAL(8U, view.KnownHosts());
    CPPUNIT_ASSERT_EQUAL(4U, view.ReachableHosts());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, view.LiveHosts().size());
    for (int i = 4; i < 8; ++i) {
      const std::string host = "entry-" + std::to_string(i);
      CPPUNIT_ASSERT(!view.HasEnded({host, 50}, At(3600)));
      view.ContactSucceeded(host, At(3601));
      view.TakeDigest(Digest(host, 100, 50, 2), At(3601));
    }
    CPPUNIT_ASSERT_EQUAL(8U, view.ReachableHosts());
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, view.LiveHosts().size());
  }

  // A caller resends under a key of a host that drained hours ago and whose
  // name already runs again: the key's new home must still be found.
  void SuccessorOutlivesTheDrainedHost() {
    membership_view view = NewView();
    view.UseList(List(3), At(0));
    member_digest drained = Digest("entry-1", 100, 11, 5);
    drained.draining = true;
    CPPUNIT_ASSERT(view.TakeDigest(drained, At(1)));
    CPPUNIT_ASSERT(!view.SuccessorOf({"entry-1", 11}));
    ++drained.version.sequence;
    drained.drained = true;
    drained.successor = "entry-2";
    view.TakeDigest(drained, At(2));
    CPPUNIT_ASSERT_EQUAL(2U, view.KnownHosts());
    view.TakeDigest(Digest("entry-1", 200, 12, 1), At(60));
    view.Tick(At(60) + hours(12));
    CPPUNIT_ASSERT(view.SuccessorOf({"entry-1", 11}) == "entry-2");
    CPPUNIT_ASSERT(!view.SuccessorOf({"entry-1", 12}));
    CPPUNIT_ASSERT(view.HasEnded({"entry-1", 11}, At(100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_view_test);

}  // namespace
}  // namespace slatestall
