#include "slatestall/dispatch/relay_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace slatestall {
namespace {

class relay_choice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_choice_test);
  CPPUNIT_TEST(CallsAreSpreadByWhatHostsCanDo);
  CPPUNIT_TEST(AHostThatRefusedIsLeftAloneForAWhile);
  CPPUNIT_TEST(AHostThatIsListedAnewKeepsItsCalls);
  CPPUNIT_TEST_SUITE_END();

  std::uint64_t next_ = 0;
  relay_choice relays_{
      [this](std::uint64_t bound) { return next_++ * 7919 % bound; }};
  time_point now_{milliseconds(100'000)};

  static relay_host Host(const std::string& name, double weight) {
    return {name, {asio::ip::make_address("127.0.0.1"), 1}, weight};
  }

  // All calls of a host that was cut off went to one other host.
  void CallsAreSpreadByWhatHostsCanDo() {
    relays_.SetHosts({Host("a", 1), Host("b", 1), Host("c", 0.25)});
    std::map<std::string, int> calls;
    for (int i = 0; i < 90; ++i) {
      const auto picked = relays_.Pick(1, now_);
      ++calls[picked.at(0).host];
      relays_.NoteStart(picked[0].host);
    }
    CPPUNIT_ASSERT(calls["a"] >= 38 && calls["a"] <= 42);
    CPPUNIT_ASSERT(calls["b"] >= 38 && calls["b"] <= 42);
    CPPUNIT_ASSERT(calls["c"] >= 8 && calls["c"] <= 12);
  }

  // Each call tried the hosts of the same domain first, which were cut off,
  // too.
  void AHostThatRefusedIsLeftAloneForAWhile() {
    relays_.SetHosts({Host("a", 1), Host("b", 1)});
    relays_.NoteRefused("a", now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relays_.Pick(2, now_).size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), relays_.Pick(2, now_)[0].host);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         relays_.Pick(2, now_ + milliseconds(1500)).size());
  }

  // Each change of the list of hosts forgot who was busy.
  void AHostThatIsListedAnewKeepsItsCalls() {
    relays_.SetHosts({Host("a", 1)});
    relays_.NoteStart("a");
    relays_.SetHosts({Host("a", 1), Host("b", 1)});
    CPPUNIT_ASSERT_EQUAL(std::string("b"), relays_.Pick(1, now_)[0].host);
    relays_.NoteEnd("a");
    relays_.NoteStart("b");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), relays_.Pick(1, now_)[0].host);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_choice_test);

}  // namespace
}  // namespace slatestall
