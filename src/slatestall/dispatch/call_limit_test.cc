#include "slatestall/dispatch/call_limit.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "slatestall/dispatch/cold_terms.h"

namespace slatestall {
namespace {

constexpr milliseconds kStep{100};
constexpr std::chrono::seconds kListAge{10};
constexpr std::chrono::seconds kSettling{24};
const endpoint_incarnation kEndpoint{"e", 0};

/// Hosts that know of one another late, and send to one cold endpoint all they
/// may. A host sends from its settling on; by then all lists hold it.
class cold_fleet {
 public:
  cold_fleet(std::size_t hosts, std::size_t limit) : limit_(limit) {
    for (std::size_t i = 0; i < hosts; ++i) {
      Join();
      hosts_.back().joined = -kSettling;
    }
    for (auto& one : hosts_) {
      Read(one);
    }
  }

  void Join() {
    const std::string name = "h" + std::to_string(hosts_.size());
    hosts_.push_back({call_limit(name, std::chrono::seconds(1)), name, now_});
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      auto& one = hosts_[i];
      if (one.dead || now_ - one.joined < kSettling) {
        continue;
      }
      Read(one);
      while (one.limit.Allows(kEndpoint, limit_, Now())) {
        one.limit.NoteSent(kEndpoint, Now());
        sent_.push_back(now_);
      }
    }
    while (!sent_.empty() && now_ - sent_.front() >= std::chrono::seconds(1)) {
      sent_.pop_front();
    }
  }

  std::size_t InASecond() const { return sent_.size(); }
  std::size_t size() const { return hosts_.size(); }
  void Kill(std::size_t host) { hosts_[host].dead = true; }
  /// @brief When a host reads the list next; its list is never too old.
  void Delay(std::size_t host, duration late) {
    auto& one = hosts_[host];
    one.read_again = std::min<duration>(now_ + late, one.read_at + kListAge);
  }

 private:
  struct host {
    call_limit limit;
    std::string name;
    duration joined{0};
    duration read_at{0};
    duration read_again{0};
    bool dead = false;
    std::size_t listed = 0;
  };

  time_point Now() const { return time_point(std::chrono::hours(1)) + now_; }

  void Read(host& one) {
    if (now_ < one.read_again) {
      return;
    }
    one.read_at = now_;
    if (one.listed == hosts_.size()) {
      return;
    }
    std::vector<std::string> names;
    for (const auto& other : hosts_) {
      names.push_back(other.name);
    }
    one.listed = names.size();
    one.limit.SetHosts(names);
  }

  std::size_t limit_;
  std::vector<host> hosts_;
  duration now_{0};
  std::deque<duration> sent_;
};

class call_limit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(call_limit_test);
  CPPUNIT_TEST(NoSecondGetsMoreThanTheLimitWhoeverSeesWhom);
  CPPUNIT_TEST(WithEverythingColdMostOfTheLimitIsUsed);
  CPPUNIT_TEST(TheOperatorsTermsAreRoundedDown);
  CPPUNIT_TEST_SUITE_END();

  // Hosts that see different lists send a cold endpoint too much together.
  void NoSecondGetsMoreThanTheLimitWhoeverSeesWhom() {
    CPPUNIT_ASSERT(rc::check("the hosts together keep the limit", [] {
      const auto hosts = *rc::gen::element<std::size_t>(1, 2, 3, 7, 30);
      const auto limit = *rc::gen::inRange<std::size_t>(0, 40);
      cold_fleet fleet(hosts, limit);
      for (int step = 0; step < 360; ++step) {
        const auto host = *rc::gen::inRange<std::size_t>(0, fleet.size());
        switch (*rc::gen::inRange(0, 12)) {
          case 0:
            fleet.Join();
            break;
          case 1:
            fleet.Kill(host);
            break;
          case 2:
          case 3:
            fleet.Delay(host, milliseconds(*rc::gen::inRange(0, 10'000)));
            break;
          default:
            break;
        }
        fleet.Step();
        RC_ASSERT(fleet.InASecond() <= limit);
      }
    }));
    constexpr std::size_t kLimit = 19;
    cold_fleet many(390, kLimit);
    for (int step = 0; step < 40; ++step) {
      many.Step();
      CPPUNIT_ASSERT(many.InASecond() <= kLimit);
    }
  }

  // With all endpoints cold, hosts leave what these bear unused.
  void WithEverythingColdMostOfTheLimitIsUsed() {
    constexpr std::size_t kLimit = 19;
    constexpr int kSteps = 100;
    for (const std::size_t hosts : {1U, 2U, 7U, 64U, 195U, 390U, 1000U}) {
      cold_fleet fleet(hosts, kLimit);
      std::size_t seen = 0;
      for (int step = 0; step < kSteps; ++step) {
        fleet.Step();
        seen += fleet.InASecond();
      }
      CPPUNIT_ASSERT(2 * seen >= kLimit * kSteps);
    }
  }

  void TheOperatorsTermsAreRoundedDown() {
    const cold_terms terms{1.5, 5};
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, terms.CallsInASecond(9.9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cold_terms{}.CallsInASecond(0.5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_limit_test);

}  // namespace
}  // namespace slatestall
