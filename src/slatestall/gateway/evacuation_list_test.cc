#include "slatestall/gateway/evacuation_list.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "slatestall/gateway/forgetful_store.h"

namespace slatestall {
namespace {

using domain_set = std::set<std::string>;

/// Whether each domain is evacuated.
using operator_store = forgetful_store<bool>;

std::vector<evacuation_record> NewestIn(const operator_store& store) {
  std::vector<evacuation_record> records;
  for (const auto& [domain, evacuated] : store.Newest()) {
    if (evacuated) {
      records.push_back({domain, true});
    }
  }
  return records;
}

domain_set EvacuatedIn(const operator_store& store) {
  domain_set evacuated;
  for (const auto& [domain, is_evacuated] : store.Truth()) {
    if (is_evacuated) {
      evacuated.insert(domain);
    }
  }
  return evacuated;
}

/// Follows the store as a host does, of itself or through another host.
class operator_reader {
 public:
  void Read(const operator_store& store) {
    if (!IsBehind(store)) {
      return;
    }
    if (era_ == 0 || (restores_ && store.IsWhole() && store.Era() == era_)) {
      restores_ = false;
      evacuations_.ReplaceAll(NewestIn(store));
    } else if (store.Era() > era_) {
      restores_ = true;
      evacuations_.AddRestored(NewestIn(store));
    } else {
      std::vector<evacuation_record> changes;
      for (auto at = next_; at < store.Log().size(); ++at) {
        changes.push_back({store.Log()[at].first, store.Log()[at].second});
      }
      evacuations_.Change(changes);
    }
    era_ = store.Era();
    next_ = store.Log().size();
  }

  /// All is read again where changes are no longer kept.
  void ReadAll(const operator_store& store) {
    if (IsBehind(store) && store.Era() == era_ && !restores_) {
      evacuations_.ReplaceAll(NewestIn(store));
      next_ = store.Log().size();
    }
  }

  const domain_set& Evacuated() const { return evacuations_.Domains(); }
  std::uint64_t Era() const { return era_; }

 private:
  bool IsBehind(const operator_store& store) const {
    return store.Era() > era_ ||
           (store.Era() == era_ && store.Log().size() >= next_);
  }

  evacuation_list evacuations_;
  std::uint64_t era_ = 0;  ///< 0: nothing was read yet.
  std::size_t next_ = 0;
  bool restores_ = false;
};

class evacuation_list_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_list_test);
  CPPUNIT_TEST(ADomainIsEvacuatedUntilItIsTakenBack);
  CPPUNIT_TEST(OneWithoutARecordIsTakenBack);
  CPPUNIT_TEST(AnOlderCopyEndsNoEvacuation);
  CPPUNIT_TEST(AnOlderCopyBeginsNoneThatHadEnded);
  CPPUNIT_TEST(OneThatBeganAgainIsNotTakenForEnded);
  CPPUNIT_TEST(HostsAgreeWithTheStoreAfterAnyOrderOfChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ADomainIsEvacuatedUntilItIsTakenBack() {
    evacuation_list list;
    CPPUNIT_ASSERT(list.Change({{"a", true}, {"b", true}}));
    CPPUNIT_ASSERT(!list.Change({{"a", true}}));
    CPPUNIT_ASSERT(list.Change({{"a", false}}));
    CPPUNIT_ASSERT(!list.Contains("a"));
    CPPUNIT_ASSERT(list.Contains("b"));
  }

  // A missed deletion leaves a domain idle for good.
  void OneWithoutARecordIsTakenBack() {
    evacuation_list list;
    list.Change({{"a", true}});
    CPPUNIT_ASSERT(list.ReplaceAll({{"b", true}}));
    CPPUNIT_ASSERT(list.Domains() == domain_set{"b"});
  }

  // The store loses an evacuation, and work goes there again.
  void AnOlderCopyEndsNoEvacuation() {
    evacuation_list list;
    list.Change({{"a", true}});
    CPPUNIT_ASSERT(!list.AddRestored({}));
    CPPUNIT_ASSERT(list.Contains("a"));
  }

  // Two domains are out at once, and callers refused, for one evacuation.
  void AnOlderCopyBeginsNoneThatHadEnded() {
    evacuation_list list;
    list.Change({{"a", true}});
    list.Change({{"a", false}});
    CPPUNIT_ASSERT(!list.AddRestored({{"a", true}}));
    CPPUNIT_ASSERT(list.Change({{"a", true}}));
  }

  void OneThatBeganAgainIsNotTakenForEnded() {
    evacuation_list list;
    list.Change({{"a", true}});
    list.Change({{"a", false}});
    list.Change({{"a", true}});
    list.ReplaceAll({});
    list.Change({{"a", true}});
    CPPUNIT_ASSERT(!list.AddRestored({{"a", true}}));
    CPPUNIT_ASSERT(list.Contains("a"));
  }

  void HostsAgreeWithTheStoreAfterAnyOrderOfChanges();
};

// A host drops an evacuation that stands, or keeps one that is over.
void evacuation_list_test::HostsAgreeWithTheStoreAfterAnyOrderOfChanges() {
  CPPUNIT_ASSERT(rc::check("hosts agree with the store", [] {
    operator_store store;
    auto second_hand = store;  // As another host has read it.
    std::vector<operator_reader> hosts(3);
    const auto steps = *rc::gen::inRange(5, 60);
    for (int step = 0; step < steps; ++step) {
      const auto drawn = *rc::gen::inRange<std::size_t>(0, 6);
      auto& host = hosts[drawn % hosts.size()];
      const std::string domain(1, static_cast<char>('a' + drawn / 2));
      const auto before = host.Evacuated();
      const auto era = host.Era();
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
          store.Restore(drawn);
          break;
        case 1:
        case 2:
          store.WriteAgain(drawn);
          break;
        case 3:
          host = operator_reader();
          break;
        case 4:
          second_hand = store;
          break;
        case 5:
          host.Read(second_hand);
          break;
        case 6:
          host.ReadAll(store);
          break;
        case 7:
          host.Read(store);
          if (host.Era() > era && era > 0) {
            // A later era ends nothing by itself.
            RC_ASSERT(std::includes(host.Evacuated().begin(),
                                    host.Evacuated().end(), before.begin(),
                                    before.end()));
          } else if (store.IsWhole()) {
            RC_ASSERT(host.Evacuated() == EvacuatedIn(store));
          }
          break;
        default:
          store.Write(domain, drawn % 2 == 0);
          break;
      }
    }
    while (!store.IsWhole()) {
      store.WriteAgain(0);
    }
    for (auto& host : hosts) {
      host.Read(store);  // Of a later era.
      host.Read(store);
      RC_ASSERT(host.Evacuated() == EvacuatedIn(store));
    }
  }));
}

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_list_test);

}  // namespace
}  // namespace slatestall
