#include "standins/endpoint/prefix_cache.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

class prefix_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_cache_test);
  CPPUNIT_TEST(TheLongestKnownPrefixCounts);
  CPPUNIT_TEST(TheLeastRecentlyUsedGoesFirstAndEventsComeLate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheLongestKnownPrefixCounts() {
    prefix_cache cache({});
    const std::string shared(600, 'a');
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.Use(shared + "1", start_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{512},
                         cache.Use(shared + std::string(900, 'b'), start_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         cache.Use(std::string(900, 'c'), start_));
  }

  void TheLeastRecentlyUsedGoesFirstAndEventsComeLate() {
    prefix_cache_options options;
    options.capacity = 2;
    prefix_cache cache(options);
    cache.Store("a", start_);
    cache.Store("b", start_);
    cache.Store("a", start_);
    cache.Store("c", start_);
    CPPUNIT_ASSERT(cache.Holds("a") && !cache.Holds("b") && cache.Holds("c"));
    CPPUNIT_ASSERT(cache.EventsFrom(0, start_)["events"].empty());
    const auto late = cache.EventsFrom(2, start_ + options.event_lag);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, late["events"].size());
    CPPUNIT_ASSERT_EQUAL(std::string("evicted"),
                         late["events"][1]["op"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(4, late["next"].get<int>());
  }

 private:
  time_point start_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_cache_test);

}  // namespace
}  // namespace slatestall
