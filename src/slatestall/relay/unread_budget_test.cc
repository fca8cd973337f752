#include "slatestall/relay/unread_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

namespace slatestall {
namespace {

constexpr std::size_t kKilobyte = 1024;

class unread_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(unread_budget_test);
  CPPUNIT_TEST(NothingIsClosedUpToTheLimit);
  CPPUNIT_TEST(TheLargestIsClosedAboveTheLimit);
  CPPUNIT_TEST(SmallConnectionsAreNeverClosed);
  CPPUNIT_TEST(AConnectionThatWasReadIsNotClosed);
  CPPUNIT_TEST(ManyChangesKeepTheSumAndTheLargest);
  CPPUNIT_TEST_SUITE_END();

  // A bound that is reached but not exceeded cut off a caller.
  void NothingIsClosedUpToTheLimit() {
    unread_budget budget(200 * kKilobyte);
    budget.Set(budget.NewConnection(), 100 * kKilobyte);
    budget.Set(budget.NewConnection(), 100 * kKilobyte);
    CPPUNIT_ASSERT_EQUAL(200 * kKilobyte, budget.Total());
    CPPUNIT_ASSERT(!budget.ToClose());
  }

  // The connection that grew last was closed in place of the largest.
  void TheLargestIsClosedAboveTheLimit() {
    unread_budget budget(200 * kKilobyte);
    const auto large = budget.NewConnection();
    const auto small = budget.NewConnection();
    const auto last = budget.NewConnection();
    budget.Set(large, 120 * kKilobyte);
    budget.Set(small, 10 * kKilobyte);
    budget.Set(last, 90 * kKilobyte);
    CPPUNIT_ASSERT(budget.ToClose() == large);
    budget.Set(large, 0);
    CPPUNIT_ASSERT(!budget.ToClose());
    CPPUNIT_ASSERT_EQUAL(100 * kKilobyte, budget.Total());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.Of(large));
  }

  // Many small answers that are being read were cut off.
  void SmallConnectionsAreNeverClosed() {
    unread_budget budget(kKilobyte);
    const auto one = budget.NewConnection();
    budget.Set(one, unread_budget::kSmallestClosed - 1);
    budget.Set(budget.NewConnection(), unread_budget::kSmallestClosed - 1);
    CPPUNIT_ASSERT(!budget.ToClose());
    budget.Set(one, unread_budget::kSmallestClosed);
    CPPUNIT_ASSERT(budget.ToClose() == one);
  }

  // A caller that resumed reading was closed by what it had unread before.
  void AConnectionThatWasReadIsNotClosed() {
    unread_budget budget(200 * kKilobyte);
    const auto reads = budget.NewConnection();
    const auto stalls = budget.NewConnection();
    budget.Set(reads, 150 * kKilobyte);
    budget.Set(stalls, 120 * kKilobyte);
    CPPUNIT_ASSERT(budget.ToClose() == reads);
    budget.Set(reads, 90 * kKilobyte);
    CPPUNIT_ASSERT(budget.ToClose() == stalls);
  }

  // A sum that drifts closes connections for good, or none.
  void ManyChangesKeepTheSumAndTheLargest() {
    constexpr std::size_t kLimit = 2000 * kKilobyte;
    constexpr int kSteps = 20'000;
    std::mt19937 random(5);
    std::uniform_int_distribution<unread_budget::connection_id> any_id(1, 40);
    std::uniform_int_distribution<std::size_t> any_size(0, 200 * kKilobyte);
    unread_budget budget(kLimit);
    std::map<unread_budget::connection_id, std::size_t> expected;
    for (int step = 0; step < kSteps; ++step) {
      const auto id = any_id(random);
      const auto size = random() % 4 == 0 ? 0 : any_size(random);
      budget.Set(id, size);
      expected[id] = size;
      std::size_t sum = 0;
      std::size_t largest = 0;
      for (const auto& [one, bytes] : expected) {
        sum += bytes;
        largest = std::max(largest, bytes);
      }
      CPPUNIT_ASSERT_EQUAL(sum, budget.Total());
      const auto named = budget.ToClose();
      CPPUNIT_ASSERT_EQUAL(
          sum > kLimit && largest >= unread_budget::kSmallestClosed,
          named.has_value());
      CPPUNIT_ASSERT(!named || budget.Of(*named) == largest);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unread_budget_test);

}  // namespace
}  // namespace slatestall
