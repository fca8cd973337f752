#include "slatestall/dispatch/reader_tree.h"

#include <cppunit/extensions/HelperMacros.h>

#include "slatestall/dispatch/reader_fleet_model.h"

namespace slatestall {
namespace {

constexpr milliseconds kStep = fleet_model::kStep;
/// Of several relays in each failure domain.
constexpr std::size_t kLargeFleet = 400;
/// Twice the mean, since hosts pick whom they follow by chance.
constexpr std::size_t kMostFollowers = 64;
/// Questions of a host in a second, of four to each host that it asks.
constexpr std::size_t kMostAsked = 128;

class reader_tree_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(reader_tree_test);
  CPPUNIT_TEST(HostsOfASmallFleetFollowTwoReaders);
  CPPUNIT_TEST(FollowersAreBoundedAtEachSize);
  CPPUNIT_TEST(AFleetThatStartsLeavesTheStoreToItsReaders);
  CPPUNIT_TEST(HalfOfAFleetIsLostAtOnce);
  CPPUNIT_TEST(ADomainWithoutStrongHostsHasRelays);
  CPPUNIT_TEST(WhereTheStoreTurnsReadersAwayOthersRead);
  CPPUNIT_TEST(WhereTheStoreAnswersNobodyFewHostsAreAsked);
  CPPUNIT_TEST(AHostThatIsCutOffReadsItself);
  CPPUNIT_TEST(TheSecondReaderReadsWhereverItRanks);
  CPPUNIT_TEST(AReaderWithoutTheStoreFollowsNoFollowerOfItsOwn);
  CPPUNIT_TEST_SUITE_END();

  void HostsOfASmallFleetFollowTwoReaders() {
    fleet_model fleet(7);
    fleet.Run(std::chrono::seconds(1));
    fleet.AssertAllServed(1, 2);
    CPPUNIT_ASSERT(fleet.Deciders().begin()->second.tree.IsFlat());
  }

  // Two readers answered nine hundred hosts, each later than they waited for
  // it, so that all hosts read the store.
  void FollowersAreBoundedAtEachSize() {
    for (const std::size_t hosts : {60, 195, 985, 2000}) {
      fleet_model fleet(hosts);
      fleet.Run(kStep * 10);
      fleet.AssertAllServed(2, 2);
      CPPUNIT_ASSERT(fleet.MostFollowers() <= kMostFollowers);
    }
  }

  // Each host that knew no other yet took itself for a reader, and read lists
  // of thousands of endpoints from a store that then answered nobody.
  void AFleetThatStartsLeavesTheStoreToItsReaders() {
    fleet_model fleet(985);
    std::size_t readers = 0;
    for (const auto& [index, one] : fleet.Deciders()) {
      const auto place = fleet.PlaceOf(index);
      readers += place.source == reading_source::kStore ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readers);
    fleet.Run(kStep * 3);
    fleet.AssertAllServed(2, 2);
  }

  void HalfOfAFleetIsLostAtOnce() {
    fleet_model fleet(kLargeFleet);
    fleet.Run(std::chrono::seconds(2));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.At(i).lives = i % 20 >= 11;
    }
    // All readers and relays are known by their silence, and replaced.
    fleet.Run(std::chrono::seconds(2));
    fleet.AssertAllServed(2, 2);
  }

  void ADomainWithoutStrongHostsHasRelays() {
    fleet_model fleet(kLargeFleet);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.At(i).lives = fleet_model::WeightOf(i) < 1.0;
    }
    fleet.Run(std::chrono::seconds(4));
    fleet.AssertAllServed(2, 2);
  }

  // The store turns a third of the hosts away, the readers among them, and
  // serves the others.
  void WhereTheStoreTurnsReadersAwayOthersRead() {
    fleet_model fleet(kLargeFleet);
    fleet.Run(std::chrono::seconds(2));
    for (const auto& [index, one] : fleet.Deciders()) {
      if (fleet.PlaceOf(index).source == reading_source::kStore) {
        fleet.At(index).lacks_store = true;
      }
    }
    fleet.Run(std::chrono::seconds(2));
    fleet.AssertAllServed(3, 2);
    for (const auto& [index, one] : fleet.Deciders()) {
      if (fleet.PlaceOf(index).source == reading_source::kStore) {
        CPPUNIT_ASSERT(!fleet.At(index).lacks_store);
      }
    }
  }

  // In an outage every host would look through the whole fleet for one that
  // the store answers.
  void WhereTheStoreAnswersNobodyFewHostsAreAsked() {
    fleet_model fleet(kLargeFleet);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.At(i).lacks_store = true;
    }
    fleet.Run(std::chrono::seconds(2));
    const auto before = fleet.Asked();
    fleet.Run(std::chrono::seconds(1));
    CPPUNIT_ASSERT((fleet.Asked() - before) / fleet.Deciders().size() <
                   kMostAsked);
  }

  void AHostThatIsCutOffReadsItself() {
    fleet_model fleet(kLargeFleet);
    fleet.Run(std::chrono::seconds(2));
    for (std::size_t i = 1; i < fleet.size(); ++i) {
      fleet.At(i).lives = false;
    }
    fleet.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(fleet.PlaceOf(0).source == reading_source::kStore);
  }

  // The second host of the order followed the first as the relay of their
  // failure domain, so that one host read the store for all.
  void TheSecondReaderReadsWhereverItRanks() {
    for (std::size_t hosts = 10; hosts <= 200; hosts += 5) {
      fleet_model fleet(hosts);
      fleet.Run(kStep * 10);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.Readers());
    }
  }

  // A reader whose read failed followed a host that followed it, and both
  // served by an old configuration until it tried the store again.
  void AReaderWithoutTheStoreFollowsNoFollowerOfItsOwn() {
    for (std::size_t hosts = 10; hosts <= 200; hosts += 5) {
      fleet_model fleet(hosts);
      fleet.Run(kStep * 10);
      for (std::size_t i = 0; i < hosts; ++i) {
        const bool reads = fleet.PlaceOf(i).source == reading_source::kStore;
        if (reads) {
          fleet.At(i).lacks_store = true;
          break;
        }
      }
      fleet.Run(std::chrono::seconds(2));
      fleet.AssertAllServed(3, 2);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_tree_test);

}  // namespace
}  // namespace slatestall
