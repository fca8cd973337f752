#include "slatestall/node/endpoint_subset.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>

namespace slatestall {
namespace {

std::vector<endpoint> Endpoints(int count) {
  std::vector<endpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    endpoints.push_back({"10.0.0." + std::to_string(i) + ":1",
                         "domain-" + std::to_string(i % 4)});
  }
  return endpoints;
}

class endpoint_subset_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_subset_test);
  CPPUNIT_TEST(SmallSitesUseEveryEndpoint);
  CPPUNIT_TEST(PollsOfAnEndpointDoNotGrowWithHosts);
  CPPUNIT_TEST(PollsOfAHostDoNotGrowWithEndpoints);
  CPPUNIT_TEST(OneEndpointLessMovesOne);
  CPPUNIT_TEST(HalfComesFromTheOwnFailureDomain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallSitesUseEveryEndpoint() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, SubsetSize(20, 9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, SubsetSize(0, 9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, SubsetSize(48, 390));
  }

  void PollsOfAnEndpointDoNotGrowWithHosts() {
    CPPUNIT_ASSERT(rc::check("polls do not grow with hosts", [] {
      const auto hosts = *rc::gen::inRange<std::size_t>(1, 2000);
      const auto endpoints = *rc::gen::inRange<std::size_t>(1, 400);
      const auto used = SubsetSize(endpoints, hosts);
      const auto pollers = static_cast<double>(used) *
                           static_cast<double>(hosts) /
                           static_cast<double>(endpoints);
      const auto pace = PollPace(used, hosts, UsersOf(endpoints, hosts));
      RC_ASSERT(1000 * pollers / static_cast<double>(pace.busy.count()) < 70);
      RC_ASSERT(pace.quiet >= pace.busy);
    }));
  }

  void PollsOfAHostDoNotGrowWithEndpoints() {
    const auto polls = [](std::size_t used, std::size_t hosts) {
      return 1000 * static_cast<double>(used) /
             static_cast<double>(PollPace(used, hosts, 16).busy.count());
    };
    CPPUNIT_ASSERT(polls(69, 1) < 20.1);
    CPPUNIT_ASSERT(polls(94, 390) < 4.1);
  }

  void OneEndpointLessMovesOne() {
    CPPUNIT_ASSERT(rc::check("one endpoint less moves one", [] {
      auto endpoints = Endpoints(*rc::gen::inRange(9, 60));
      const auto gone = *rc::gen::inRange<std::size_t>(0, endpoints.size());
      const auto before = SubsetOf(endpoints, "entry-1", "none", 8);
      endpoints.erase(endpoints.begin() + static_cast<std::ptrdiff_t>(gone));
      const auto after = SubsetOf(endpoints, "entry-1", "none", 8);
      std::vector<std::string> added;
      std::set_difference(after.begin(), after.end(), before.begin(),
                          before.end(), std::back_inserter(added));
      RC_ASSERT(after.size() == 8U);
      RC_ASSERT(added.size() <= 1U);
    }));
  }

  void HalfComesFromTheOwnFailureDomain() {
    const auto endpoints = Endpoints(40);
    const auto chosen = SubsetOf(endpoints, "entry-1", "domain-2", 8);
    const auto own =
        std::count_if(endpoints.begin(), endpoints.end(), [&](const auto& e) {
          return e.failure_domain == "domain-2" && chosen.count(e.address) != 0;
        });
    CPPUNIT_ASSERT(own >= 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, chosen.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_subset_test);

}  // namespace
}  // namespace slatestall
