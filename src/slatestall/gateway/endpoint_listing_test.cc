#include "slatestall/gateway/endpoint_listing.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/gateway/forgetful_store.h"

namespace slatestall {
namespace {

using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};

known_endpoint Run(const std::string& id, std::int64_t started_ms,
                   bool leaving = false) {
  known_endpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = started_ms;
  endpoint.leaving = leaving;
  return endpoint;
}

known_endpoint Endpoint(const std::string& id, bool leaving = false) {
  known_endpoint endpoint;
  endpoint.id = id;
  endpoint.leaving = leaving;
  return endpoint;
}

/// Endpoints start, leave, and are gone.
enum class endpoint_state { kReady, kLeaving, kGone };
using endpoint_store = forgetful_store<endpoint_state>;

void Advance(endpoint_store& store, const std::string& id) {
  const auto known = store.Truth().find(id);
  if (known == store.Truth().end()) {
    store.Write(id, endpoint_state::kReady);
  } else {
    store.Write(id, known->second == endpoint_state::kReady
                        ? endpoint_state::kLeaving
                        : endpoint_state::kGone);
  }
}

std::vector<known_endpoint> ListedIn(const endpoint_store& store) {
  std::vector<known_endpoint> listed;
  for (const auto& [id, state] : store.Newest()) {
    if (state != endpoint_state::kGone) {
      listed.push_back(Endpoint(id, state == endpoint_state::kLeaving));
    }
  }
  return listed;
}

/// Follows such a store as a host does.
class listing_reader {
 public:
  void Read(const endpoint_store& store) {
    if (store.Era() != era_) {
      era_ = store.Era();
      listing_.AddRestored(ListedIn(store));
    } else {
      for (auto at = next_; at < store.Log().size(); ++at) {
        Take(store.Log()[at]);
      }
    }
    next_ = store.Log().size();
  }

  /// What was lost is written again: the store is believed.
  void ReadAll(const endpoint_store& store) {
    listing_.ReplaceAll(ListedIn(store), kStart);
  }

  /// Endpoints that take work.
  std::set<std::string> Usable() const {
    std::set<std::string> usable;
    for (const auto& endpoint : listing_.Listed()) {
      if (!endpoint.leaving) {
        usable.insert(endpoint.id);
      }
    }
    return usable;
  }

 private:
  void Take(const endpoint_store::record& one) {
    const auto& [id, state] = one;
    if (state == endpoint_state::kGone) {
      listing_.Drop(id, kStart);
    } else {
      listing_.Put(Endpoint(id, state == endpoint_state::kLeaving));
    }
  }

  endpoint_listing listing_{milliseconds(2000)};
  std::uint64_t era_ = 1;
  std::size_t next_ = 0;
};

class endpoint_listing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_listing_test);
  CPPUNIT_TEST(ADeletedEntryIsGoneAtOnce);
  CPPUNIT_TEST(EntriesThatLapseInAnOutageAreKeptUntilAfterIt);
  CPPUNIT_TEST(WhatIsStillMissingAfterAnOutageIsGone);
  CPPUNIT_TEST(ADeletionAfterTheReturnCounts);
  CPPUNIT_TEST(OneThatWasLeavingIsGoneInAnOutageToo);
  CPPUNIT_TEST(TheOldRunsWordChangesNothingOfTheNewRun);
  CPPUNIT_TEST(ARunThatEndedDoesNotComeBack);
  CPPUNIT_TEST(TwoRestartsInOneReadLeaveTheLast);
  CPPUNIT_TEST(ARestartInAnOutageIsTaken);
  CPPUNIT_TEST(AnUnreadableEntryNamesNoEndpoint);
  CPPUNIT_TEST(AnOlderCopyOfTheListTakesNothingBack);
  CPPUNIT_TEST(NothingGoesBackWhileAStoreIsWrittenToAgain);
  CPPUNIT_TEST(TheLongestColdTimeOfARunCounts);
  CPPUNIT_TEST(AChangeOfALongListIsPassedOnAlone);
  CPPUNIT_TEST_SUITE_END();

  // Endpoints that have left come back with an older copy of the list.
  void AnOlderCopyOfTheListTakesNothingBack() {
    endpoint_listing listing(milliseconds(2000));
    listing.ReplaceAll(
        {Endpoint("gone"), Endpoint("leaves"), Endpoint("stays")}, kStart);
    listing.NoteRead(true, kStart);
    listing.Drop("gone", kStart);
    listing.Put(Endpoint("leaves", true));
    listing.Put(Endpoint("new"));
    listing.AddRestored({Endpoint("gone"), Endpoint("leaves"),
                         Endpoint("stays"), Endpoint("unheard of")});
    std::string listed;
    for (const auto& endpoint : listing.Listed()) {
      listed += endpoint.id + (endpoint.leaving ? "! " : " ");
    }
    CPPUNIT_ASSERT_EQUAL(std::string("leaves! new stays unheard of "), listed);
    // It lives, and writes its entry again.
    listing.Put(Endpoint("gone"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, listing.size());
  }

  // One that has left gets work again, or one whose entry was lost none.
  void NothingGoesBackWhileAStoreIsWrittenToAgain() {
    CPPUNIT_ASSERT(rc::check("what has left stays so, and all is known", [] {
      endpoint_store store;
      listing_reader reader;
      std::set<std::string> left;
      const auto steps = *rc::gen::inRange(5, 40);
      for (int step = 0; step < steps; ++step) {
        const auto which = *rc::gen::inRange<std::size_t>(0, 4);
        switch (*rc::gen::inRange(0, 6)) {
          case 0:
            store.Restore(*rc::gen::inRange<std::size_t>(0, 6));
            break;
          case 1:
          case 2:
            store.WriteAgain(which);
            break;
          default:
            Advance(store, "e" + std::to_string(which));
            break;
        }
        if (*rc::gen::inRange(0, 3) == 0) {
          continue;  // Read later.
        }
        const auto before = reader.Usable();
        reader.Read(store);
        const auto after = reader.Usable();
        std::set_difference(before.begin(), before.end(), after.begin(),
                            after.end(), std::inserter(left, left.end()));
        for (const auto& id : left) {
          RC_ASSERT(!after.contains(id));
        }
      }
      while (!store.IsWhole()) {
        store.WriteAgain(0);
      }
      reader.Read(store);
      reader.ReadAll(store);
      std::set<std::string> alive;
      for (const auto& [id, state] : store.Truth()) {
        if (state == endpoint_state::kReady) {
          alive.insert(id);
        }
      }
      RC_ASSERT(reader.Usable() == alive);
    }));
  }

  // An endpoint taken for warm too early fails under ordinary work.
  void TheLongestColdTimeOfARunCounts() {
    endpoint_listing listing(milliseconds(2000));
    auto cold = Endpoint("a");
    cold.cold_until = kStart + seconds(3);
    listing.Put(cold);
    cold.cold_until = kStart + seconds(2);
    listing.Put(cold);
    CPPUNIT_ASSERT(listing.Listed().front().cold_until == kStart + seconds(3));
    auto next = Run("a", 7);
    listing.Put(next);
    CPPUNIT_ASSERT(listing.Listed().front().cold_until == time_point{});
  }

  void ADeletedEntryIsGoneAtOnce() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Endpoint("a"));
    listing.NoteRead(true, kStart);
    listing.Drop("a", kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listing.size());
  }

  // The store is away for eight seconds. Endpoints cannot renew their entries,
  // which lapse although all of them live; the list that is read first after
  // the outage is empty. Taken at its word, every request would be refused.
  void EntriesThatLapseInAnOutageAreKeptUntilAfterIt() {
    endpoint_listing listing(milliseconds(2000));
    listing.ReplaceAll({Endpoint("a"), Endpoint("b")}, kStart);
    listing.NoteRead(true, kStart);
    listing.NoteRead(false, kStart + seconds(1));
    const time_point back = kStart + seconds(9);
    listing.NoteRead(true, back);
    listing.ReplaceAll({}, back);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing.size());
    listing.Put(Endpoint("a"));
    CPPUNIT_ASSERT(!listing.DropOverdue(back + seconds(1)));
  }

  void WhatIsStillMissingAfterAnOutageIsGone() {
    endpoint_listing listing(milliseconds(2000));
    listing.ReplaceAll({Endpoint("a"), Endpoint("b")}, kStart);
    listing.NoteRead(false, kStart + seconds(1));
    const time_point back = kStart + seconds(9);
    listing.NoteRead(true, back);
    listing.ReplaceAll({}, back);
    listing.Put(Endpoint("a"));
    listing.NoteRead(true, back + seconds(3));
    CPPUNIT_ASSERT(listing.DropOverdue(back + seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), listing.Listed().front().id);
  }

  // One host alone was cut off from the store, which was well all the while.
  // Half a second after its return an endpoint leaves without a word, and its
  // entry goes. Kept as one that lapsed in an outage, it would get work for two
  // seconds more, past the limit for endpoints that leave.
  void ADeletionAfterTheReturnCounts() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Endpoint("a"));
    listing.NoteRead(false, kStart);
    const time_point back = kStart + seconds(8);
    listing.NoteRead(true, back);
    const time_point later = back + milliseconds(700);
    listing.NoteRead(true, later);
    listing.Drop("a", later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listing.size());
  }

  void OneThatWasLeavingIsGoneInAnOutageToo() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Endpoint("a", true));
    listing.NoteRead(false, kStart);
    listing.Drop("a", kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listing.size());
  }

  // An endpoint says that it leaves, dies and starts again under its id. The
  // old word comes once more, from a host that had been cut off. Taken, the new
  // run would get no work although it is ready.
  void TheOldRunsWordChangesNothingOfTheNewRun() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Run("a", 1000, true));
    listing.Put(Run("a", 2000));
    listing.Put(Run("a", 1000, true));
    CPPUNIT_ASSERT(!listing.Listed().front().leaving);
    listing.ReplaceAll({Run("a", 1000, true)}, kStart);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000},
                         listing.Listed().front().started_ms);
  }

  // The new run has gone as well when the old one's "ready" comes: it must not
  // get work again.
  void ARunThatEndedDoesNotComeBack() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Run("a", 1000));
    listing.Put(Run("a", 2000));
    listing.Drop("a", kStart);
    listing.Put(Run("a", 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listing.size());
    listing.Put(Run("a", 2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing.size());
  }

  void TwoRestartsInOneReadLeaveTheLast() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Run("a", 1000));
    listing.Put(Run("a", 2000, true));
    listing.Put(Run("a", 3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3000},
                         listing.Listed().front().started_ms);
  }

  void ARestartInAnOutageIsTaken() {
    endpoint_listing listing(milliseconds(2000));
    listing.ReplaceAll({Run("a", 1000), Run("b", 1000)}, kStart);
    listing.NoteRead(false, kStart + seconds(1));
    const time_point back = kStart + seconds(9);
    listing.NoteRead(true, back);
    listing.ReplaceAll({Run("a", 5000)}, back);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000},
                         listing.Listed().front().started_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing.size());
  }

  // Another writer overwrites the entry of an endpoint. Its key names nothing
  // until the endpoint writes again.
  void AnUnreadableEntryNamesNoEndpoint() {
    endpoint_listing listing(milliseconds(2000));
    listing.Put(Run("a", 1000));
    listing.Put(Run("b", 1000));
    listing.Withdraw("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing.size());
    listing.Put(Run("a", 1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing.size());
    listing.Put(Run("a", 0));  // No start told, where one is known.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing.size());
  }

  // One endpoint's change had ten thousand compared, copied and looked up by a
  // walk through all others, which took a weak host seconds.
  void AChangeOfALongListIsPassedOnAlone() {
    constexpr std::size_t kEndpoints = 100'000;
    endpoint_listing listing(milliseconds(2000));
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      listing.Put(Endpoint("e" + std::to_string(i)));
    }
    passed_listing passed;
    CPPUNIT_ASSERT_EQUAL(kEndpoints,
                         passed.Replace(listing.Listed()).added.size());
    listing.Put(Endpoint("e8", true));
    const auto changes = passed.Change({{"e7", std::nullopt},
                                        {"e8", Endpoint("e8", true)},
                                        {"e9", *passed.Find("e9")}});
    CPPUNIT_ASSERT(changes.added.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.put.size());
    CPPUNIT_ASSERT(changes.leaving == std::vector<std::string>{"e8"});
    CPPUNIT_ASSERT(changes.gone == std::vector<std::string>{"e7"});
    CPPUNIT_ASSERT(passed.Replace(listing.Listed()).added ==
                   std::vector<std::string>{"e7"});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_listing_test);

}  // namespace
}  // namespace slatestall
