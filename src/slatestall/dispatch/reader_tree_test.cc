#include "slatestall/dispatch/reader_tree.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kStep{50};
constexpr std::size_t kDomains = 6;
/// Of several relays in each failure domain.
constexpr std::size_t kLargeFleet = 400;
/// Twice the mean, since hosts pick whom they follow by chance.
constexpr std::size_t kMostFollowers = 64;
/// Questions of a host in a second, of four to each host that it asks.
constexpr std::size_t kMostAsked = 128;

std::string NameOf(std::size_t host) { return "h" + std::to_string(host); }
/// One in sixteen is strong.
double WeightOf(std::size_t host) { return host % 16 == 0 ? 1.0 : 0.024; }

/// A fleet whose hosts ask each other whether they live.
class fleet_model {
 public:
  struct host {
    bool lives = true;
    bool lacks_store = false;
  };
  struct decider {
    explicit decider(const reading_host& self)
        : tree(self, kStart, disabled_mechanisms{}) {}

    reader_tree tree;
    home_health health;
  };

  explicit fleet_model(std::size_t hosts) : hosts_(hosts) {
    for (std::size_t i = 0; i < hosts; ++i) {
      AddDecider(i);
    }
  }

  void Run(duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [index, one] : deciders_) {
        if (!hosts_[index].lives) {
          continue;
        }
        one.tree.NoteStore(!hosts_[index].lacks_store, now_);
        std::set<std::string> due;
        one.tree.AddDue(one.health, now_, due);
        asked_ += due.size();
        for (const auto& name : due) {
          Answer(one, name);
        }
      }
    }
  }

  reading_place PlaceOf(std::size_t index) const {
    const auto& one = deciders_.at(index);
    return one.tree.Place(one.health, now_);
  }

  /// @returns how many hosts are passed on the way to one that reads the
  /// store.
  std::size_t StepsToStore(std::size_t index) const {
    std::size_t steps = 0;
    for (auto place = PlaceOf(index); place.source != reading_source::kStore;
         place = PlaceOf(IndexOf(place.host))) {
      CPPUNIT_ASSERT(place.source == reading_source::kHost);
      CPPUNIT_ASSERT(hosts_[IndexOf(place.host)].lives);
      CPPUNIT_ASSERT(++steps < 4);
    }
    return steps;
  }

  /// Asserts that all living hosts learn what is in the store in a few steps.
  void AssertAllServed(std::size_t most_steps, std::size_t most_readers) const {
    std::size_t readers = 0;
    for (const auto& [index, one] : deciders_) {
      if (hosts_[index].lives) {
        const auto steps = StepsToStore(index);
        CPPUNIT_ASSERT(steps <= most_steps);
        readers += steps == 0 ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(readers >= 1);
    CPPUNIT_ASSERT(readers <= most_readers);
  }

  std::size_t Readers() const {
    return static_cast<std::size_t>(
        std::count_if(deciders_.begin(), deciders_.end(), [&](const auto& one) {
          return PlaceOf(one.first).source == reading_source::kStore;
        }));
  }

  /// Of one host.
  std::size_t MostFollowers() const {
    std::map<std::string, std::size_t> followers;
    std::size_t most = 0;
    for (const auto& [index, one] : deciders_) {
      const auto place = PlaceOf(index);
      if (place.source == reading_source::kHost) {
        most = std::max(most, ++followers[place.host]);
      }
    }
    return most;
  }

  host& At(std::size_t index) { return hosts_[index]; }
  std::size_t size() const { return hosts_.size(); }
  std::size_t Asked() const { return asked_; }
  const std::map<std::size_t, decider>& Deciders() const { return deciders_; }

 private:
  static std::size_t IndexOf(const std::string& name) {
    return std::stoul(name.substr(1));
  }
  static reading_host Described(std::size_t index) {
    return {NameOf(index), "d" + std::to_string(index / 16 % kDomains),
            WeightOf(index)};
  }

  void AddDecider(std::size_t index) {
    auto& one = deciders_.try_emplace(index, Described(index)).first->second;
    std::vector<reading_host> others;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      others.push_back(Described(i));
    }
    one.tree.SetHosts(others);
  }

  void Answer(decider& one, const std::string& name) {
    const auto& asked = hosts_[IndexOf(name)];
    one.health.NoteAsked(name, now_);
    if (asked.lives) {
      one.health.NoteAnswer(name, false, now_);
      one.health.NoteStore(name, !asked.lacks_store);
    } else {
      one.health.NoteFailure(name, now_);
    }
  }

  std::vector<host> hosts_;
  std::map<std::size_t, decider> deciders_;
  time_point now_ = kStart;
  std::size_t asked_ = 0;
};

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
      fleet.At(i).lives = WeightOf(i) < 1.0;
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
