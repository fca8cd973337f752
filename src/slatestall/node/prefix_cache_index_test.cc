#include "slatestall/node/prefix_cache_index.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

using prefixes = std::vector<std::uint64_t>;

class prefix_cache_index_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_cache_index_test);
  CPPUNIT_TEST(FollowsStoresAndEvictions);
  CPPUNIT_TEST(ManyMissedEventsVoidTheBelief);
  CPPUNIT_TEST(ARestartedEngineHoldsNothing);
  CPPUNIT_TEST(AnAnswerThatIsNoneIsPassedOver);
  CPPUNIT_TEST_SUITE_END();

  prefix_cache_index index_;

  prefixes Held() const { return *index_.PrefixesOf("e"); }

 public:
  void setUp() override {
    index_ = {};
    index_.Take("e", R"({"next":3,"events":[
        {"sequence":0,"op":"stored","prefix":"00000000000000ff"},
        {"sequence":1,"op":"stored","prefix":"0000000000000001"},
        {"sequence":2,"op":"stored","prefix":"0000000000000002"}]})");
  }

  void FollowsStoresAndEvictions() {
    CPPUNIT_ASSERT((Held() == prefixes{1, 2, 255}));
    CPPUNIT_ASSERT(index_.Take("e", R"({"next":4,"events":[
        {"sequence":3,"op":"evicted","prefix":"0000000000000002"}]})"));
    CPPUNIT_ASSERT((Held() == prefixes{1, 255}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, index_.NextOf("e"));
    CPPUNIT_ASSERT(!index_.Take("e", R"({"next":4,"events":[]})"));
  }

  // Events are lost on the way, evictions among them. A prefix believed to be
  // cached long after it went would pull requests to a slower engine.
  void ManyMissedEventsVoidTheBelief() {
    index_.Take("e", R"({"next":6,"events":[
        {"sequence":5,"op":"evicted","prefix":"0000000000000001"}]})");
    CPPUNIT_ASSERT(Held().empty());
  }

  void ARestartedEngineHoldsNothing() {
    CPPUNIT_ASSERT(index_.Take("e", R"({"next":1,"events":[
        {"sequence":0,"op":"stored","prefix":"0000000000000009"}]})"));
    CPPUNIT_ASSERT((Held() == prefixes{9}));
  }

  void AnAnswerThatIsNoneIsPassedOver() {
    CPPUNIT_ASSERT(!index_.Take("e", "{"));
    CPPUNIT_ASSERT(!index_.Take("e", R"({"next":9,"events":[{}]})"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Held().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_cache_index_test);

}  // namespace
}  // namespace slatestall
