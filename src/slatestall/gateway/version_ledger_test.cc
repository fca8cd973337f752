#include "slatestall/gateway/version_ledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

namespace slatestall {
namespace {

constexpr duration kLife = std::chrono::seconds(60);
const time_point kStart{std::chrono::hours(1)};

version_record Record(std::set<std::string> versions, std::uint64_t era = 1,
                      bool is_complete = true) {
  return {{{"s", std::move(versions)}}, era, is_complete};
}

class version_ledger_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(version_ledger_test);
  CPPUNIT_TEST(RecordsSurviveTheStore);
  CPPUNIT_TEST(OneRecordedVersionIsTheOnlyOne);
  CPPUNIT_TEST(AHostOfAnEarlierReleaseMayHaveUsedAny);
  CPPUNIT_TEST(AnOlderCopyMayLackVersions);
  CPPUNIT_TEST(AVersionStaysRecordedUntilItsStreamsAreOver);
  CPPUNIT_TEST(AProcessKeepsWhatTheOneBeforeItRecorded);
  CPPUNIT_TEST(ANewVersionWaitsForCallersOfStreamsOfBefore);
  CPPUNIT_TEST(TheOnlyVersionIsThatOfEveryStream);
  CPPUNIT_TEST_SUITE_END();

  void RecordsSurviveTheStore() {
    const auto record = Record({"1", "2"}, 7);
    CPPUNIT_ASSERT(ReadVersionRecord(WriteVersionRecord(record)) == record);
    for (const char* odd :
         {"", "{}", "[]", R"({"versions":{"s":"1"},"era":1,"complete":true})",
          R"({"versions":{},"era":-1,"complete":true})",
          R"({"versions":{},"era":1,"complete":1})"}) {
      CPPUNIT_ASSERT_MESSAGE(odd, !ReadVersionRecord(odd).is_complete);
    }
  }

  void OneRecordedVersionIsTheOnlyOne() {
    version_ledger ledger;
    CPPUNIT_ASSERT(!ledger.Only("s", 1));
    ledger.NoteHost("a", true);
    ledger.NoteRecord("b", Record({"1"}));
    CPPUNIT_ASSERT(ledger.Only("s", 1) == "1");
    CPPUNIT_ASSERT(ledger.IsRecorded("s", "1"));
    CPPUNIT_ASSERT(!ledger.IsRecorded("s", "2"));
    CPPUNIT_ASSERT(!ledger.Only("t", 1));
    ledger.NoteRecord("a", Record({"2"}));
    CPPUNIT_ASSERT(!ledger.Only("s", 1));
    ledger.ForgetRecord("b");
    CPPUNIT_ASSERT(ledger.Only("s", 1) == "2");
  }

  // Guards against a stream that goes on at another version after an upgrade.
  void AHostOfAnEarlierReleaseMayHaveUsedAny() {
    version_ledger ledger;
    ledger.NoteRecord("a", Record({"1"}));
    ledger.NoteHost("old", false);
    CPPUNIT_ASSERT(!ledger.Only("s", 1));
    ledger.NoteRecord("b", Record({"1"}, 1, false));
    ledger.Forget("old");
    CPPUNIT_ASSERT(!ledger.Only("s", 1));
    ledger.NoteRecord("b", Record({"1"}));
    CPPUNIT_ASSERT(ledger.Only("s", 1) == "1");
  }

  void AnOlderCopyMayLackVersions() {
    version_ledger ledger;
    ledger.NoteRecord("a", Record({"1"}, 1));
    CPPUNIT_ASSERT(!ledger.Only("s", 2));
    ledger.NoteRecord("a", Record({"1"}, 2));
    CPPUNIT_ASSERT(ledger.Only("s", 2) == "1");
  }

  void AVersionStaysRecordedUntilItsStreamsAreOver() {
    own_versions own(kLife);
    own.Begin(nullptr, true, kStart);
    own.NoteListed("s", "1", kStart);
    const auto later = kStart + kLife;
    own.NoteListed("s", "2", later);
    CPPUNIT_ASSERT(own.Record(none_, 1, later) == Record({"1", "2"}));
    CPPUNIT_ASSERT(own.Record(none_, 1, later + std::chrono::seconds(1)) ==
                   Record({"2"}));
  }

  void AProcessKeepsWhatTheOneBeforeItRecorded() {
    const auto before = Record({"1"});
    own_versions own(kLife);
    own.Begin(&before, false, kStart);
    own.NoteListed("s", "2", kStart);
    CPPUNIT_ASSERT(own.Record(none_, 1, kStart) ==
                   Record({"1", "2"}, 1, false));
    const auto later = kStart + kLife + std::chrono::seconds(1);
    own.NoteListed("s", "2", later);
    CPPUNIT_ASSERT(own.Record(none_, 1, later) == Record({"2"}));
  }

  // Guards against losing all streams of before to a release that was under
  // way while all hosts were dead.
  void ANewVersionWaitsForCallersOfStreamsOfBefore() {
    const auto before = Record({"1"});
    version_ledger ledger;
    ledger.NoteRecord("h", before);
    own_versions own(kLife);
    own.Begin(&before, true, kStart);
    own.NoteListed("s", "2", kStart);
    // Nothing of the old version is left to wait for.
    CPPUNIT_ASSERT(own.Record(ledger, 1, kStart) == Record({"1", "2"}));
    own.NoteListed("s", "1", kStart);
    CPPUNIT_ASSERT(own.Record(ledger, 1, kStart) == before);
    const auto later = kStart + std::chrono::seconds(5);
    CPPUNIT_ASSERT(own.Record(ledger, 1, later) == Record({"1", "2"}));
    // Another host uses it.
    ledger.NoteRecord("other", Record({"2"}));
    CPPUNIT_ASSERT(own.Record(ledger, 1, kStart) == Record({"1", "2"}));
  }

  /// A host of the property below: what is lost with its process, and the list
  /// that it goes by.
  struct modelled_host {
    std::optional<own_versions> own;
    std::optional<version_record> stored;  ///< In the store.
    std::set<std::string> listed;
  };

  // Guards against joining two versions in one stream: endpoints are replaced,
  // and processes killed, at any moment and in any order; a stream is taken up
  // only at the version that began it.
  void TheOnlyVersionIsThatOfEveryStream() {
    CPPUNIT_ASSERT(rc::check([] {
      std::map<int, modelled_host> hosts;
      std::set<std::string> listed{"1"};
      std::multimap<time_point, std::string> streams;  // Version by end.
      time_point now = kStart;
      const auto ledger = [&] {
        version_ledger all;
        for (const auto& [number, host] : hosts) {
          all.NoteHost(std::to_string(number), true);
          if (host.stored) {
            all.NoteRecord(std::to_string(number), *host.stored);
          }
        }
        return all;
      };
      const int steps = *rc::gen::inRange(5, 60);
      for (int i = 0; i < steps; ++i) {
        now += std::chrono::seconds(*rc::gen::inRange(0, 20));
        auto& host = hosts[*rc::gen::inRange(0, 3)];
        if (!host.own) {
          host.own.emplace(kLife);
          host.own->Begin(host.stored ? &*host.stored : nullptr,
                          !host.stored || host.stored->is_complete, now);
        }
        switch (*rc::gen::inRange(0, 6)) {
          case 0:  // Endpoints of a version come or go.
            if (const std::string version(1, *rc::gen::inRange('1', '4'));
                listed.erase(version) == 0) {
              listed.insert(version);
            }
            break;
          case 1:
            host.listed = listed;
            break;
          case 2:
            host.stored = host.own->Record(ledger(), 1, now);
            break;
          case 3:
            if (*rc::gen::arbitrary<bool>()) {
              hosts.at(hosts.begin()->first).own.reset();
            } else {
              for (auto& [number, one] : hosts) {
                one.own.reset();
                one.listed.clear();
              }
            }
            break;
          default:
            break;
        }
        for (auto& [number, one] : hosts) {
          for (const auto& version : one.listed) {
            if (!one.own) {
              continue;
            }
            one.own->NoteListed("s", version, now);
            if (one.stored && one.stored->versions.contains("s") &&
                one.stored->versions.at("s").contains(version)) {
              streams.emplace(now + kLife / 2, version);
            }
          }
        }
        streams.erase(streams.begin(), streams.lower_bound(now));
        if (const auto only = ledger().Only("s", 1)) {
          for (const auto& [end, version] : streams) {
            RC_ASSERT(version == *only);
          }
        }
      }
    }));
  }

  const version_ledger none_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_ledger_test);

}  // namespace
}  // namespace slatestall
