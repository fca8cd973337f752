#include "slatestall/dispatch/store_turns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kStep{50};

class store_turns_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_turns_test);
  CPPUNIT_TEST(TurnsAtTheStoreAreBoundedForAllHosts);
  CPPUNIT_TEST_SUITE_END();

  // Readers that answer late had every host of the fleet read in their place.
  void TurnsAtTheStoreAreBoundedForAllHosts() {
    for (const std::size_t hosts : {100, 1000, 2000}) {
      std::vector<store_turns> all;
      for (std::size_t i = 0; i < hosts; ++i) {
        all.emplace_back(i);
      }
      std::vector<std::size_t> turns(hosts);
      std::size_t calls = 0;
      constexpr std::size_t kSeconds = 20;
      for (auto now = kStart; now < kStart + std::chrono::seconds(kSeconds);
           now += kStep) {
        for (std::size_t i = 0; i < hosts; ++i) {
          const bool taken = all[i].Take(hosts, now);
          turns[i] += taken ? 1 : 0;
          calls += taken ? 1 : 0;
        }
      }
      CPPUNIT_ASSERT(calls <= 220 * kSeconds);
      CPPUNIT_ASSERT(*std::min_element(turns.begin(), turns.end()) >= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_turns_test);

}  // namespace
}  // namespace slatestall
