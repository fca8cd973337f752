#include "slatestall/policy/config_republication.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace slatestall {
namespace {

using std::chrono::hours;

class config_republication_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_republication_test);
  CPPUNIT_TEST(RepublishesBeforeHalfTheRetention);
  CPPUNIT_TEST(RepublishesAtOnceWhenTheAnchorExpired);
  CPPUNIT_TEST(RepublishesAfterManyRecords);
  CPPUNIT_TEST(OneHostIsFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A head published once and never changed would expire from the log; hosts
  // that start later would find no configuration at all.
  void RepublishesBeforeHalfTheRetention() {
    republication_inputs inputs{{1, 1}, 0, 0, hours{11}, hours{24}};
    CPPUNIT_ASSERT(!RepublicationDue(inputs));
    inputs.anchor_age = hours{13};
    CPPUNIT_ASSERT(RepublicationDue(inputs));
    inputs.head = {0, 1};
    CPPUNIT_ASSERT(!RepublicationDue(inputs));
  }

  // The log was down past the time of republication, or its retention is
  // shorter than the settings say.
  void RepublishesAtOnceWhenTheAnchorExpired() {
    CPPUNIT_ASSERT(RepublicationDue({{5, 9}, 3, 4, hours{0}, hours{24}}));
    CPPUNIT_ASSERT(!RepublicationDue({{5, 9}, 4, 4, hours{0}, hours{24}}));
  }

  void RepublishesAfterManyRecords() {
    const auto many = kMaxRecordsSinceAnchor;
    CPPUNIT_ASSERT(!RepublicationDue({{5, many}, 0, 0, hours{0}, hours{0}}));
    CPPUNIT_ASSERT(RepublicationDue({{5, many + 1}, 0, 0, hours{0}, hours{0}}));
  }

  void OneHostIsFirst() {
    CPPUNIT_ASSERT(rc::check("one host is first", [] {
      const auto count = *rc::gen::inRange(1, 15);
      const auto offset = *rc::gen::arbitrary<std::uint64_t>();
      std::vector<std::string> hosts;
      hosts.reserve(static_cast<std::size_t>(count));
      for (int i = 0; i < count; ++i) {
        hosts.push_back("entry-" + std::to_string(i));
      }
      std::set<milliseconds> delays;
      for (const auto& host : hosts) {
        delays.insert(RepublicationDelay(host, hosts, offset));
      }
      RC_ASSERT(delays.size() == hosts.size());
      RC_ASSERT(delays.count(milliseconds{0}) == 1U);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_republication_test);

}  // namespace
}  // namespace slatestall
