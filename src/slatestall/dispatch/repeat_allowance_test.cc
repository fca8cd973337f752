#include "slatestall/dispatch/repeat_allowance.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};

class repeat_allowance_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(repeat_allowance_test);
  CPPUNIT_TEST(RepeatsFollowRequests);
  CPPUNIT_TEST(HostsTogetherKeepTheLimitInAnyWindow);
  CPPUNIT_TEST_SUITE_END();

  void RepeatsFollowRequests() {
    repeat_allowance allowance({0.2, milliseconds(10'000), 0});
    CPPUNIT_ASSERT(!allowance.Take("s", kStart));
    for (int i = 0; i < 100; ++i) {
      allowance.NoteRequest("s", kStart);
    }
    int taken = 0;
    while (allowance.Take("s", kStart)) {
      ++taken;
    }
    CPPUNIT_ASSERT_EQUAL(16, taken);
    CPPUNIT_ASSERT(!allowance.Take("other", kStart));
  }

  // Every endpoint fails everything, and every host would repeat all it can.
  // Hosts cannot see one another, and what one of them saw is lost when it is
  // replaced. In no window may the sum pass the share of the requests.
  void HostsTogetherKeepTheLimitInAnyWindow() {
    CPPUNIT_ASSERT(rc::check("the sum over hosts keeps the ratio", [] {
      constexpr std::size_t kHosts = 5;
      const repeat_limits limits{0.2, milliseconds(1000), 0};
      std::vector<repeat_allowance> hosts(kHosts, repeat_allowance(limits));
      std::vector<time_point> requests;
      std::vector<time_point> repeats;
      const auto steps = *rc::gen::container<std::vector<unsigned>>(
          rc::gen::inRange(0U, 100U));
      time_point now = kStart;
      for (const unsigned step : steps) {
        now += milliseconds(step % 40);
        auto& host = hosts[step % kHosts];
        if (step % 17 == 0) {
          host = repeat_allowance(limits);
        }
        host.NoteRequest("s", now);
        requests.push_back(now);
        while (host.Take("s", now)) {
          repeats.push_back(now);
        }
        const auto in_window = [&](const std::vector<time_point>& times,
                                   duration length) {
          std::size_t count = 0;
          for (const auto time : times) {
            count += now - time < length ? 1 : 0;
          }
          return static_cast<double>(count);
        };
        // Requests count in the window itself or the one before it.
        RC_ASSERT(in_window(repeats, limits.window) <=
                  limits.ratio * in_window(requests, limits.window * 2));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeat_allowance_test);

}  // namespace
}  // namespace slatestall
