#include "slatestall/dispatch/endpoint_quota.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace slatestall {
namespace {

constexpr milliseconds kStep{100};
constexpr std::chrono::seconds kWindow{4};
constexpr std::chrono::seconds kListAge{10};
constexpr std::chrono::seconds kSettling{24};
/// Hosts that were told of a quota have that long to obey it.
constexpr milliseconds kHeard{500};
const endpoint_incarnation kEndpoint{"e", 0};

/// Calls that an endpoint tolerates in any window.
std::size_t Tolerated(double per_second) {
  return static_cast<std::size_t>(1.5 * per_second * kWindow.count() + 5);
}

/// Hosts that know of one another late, and send to one endpoint all they may.
/// An answer tells a host of the quota.
class quota_fleet {
 public:
  quota_fleet(std::size_t hosts, double per_second) : per_second_(per_second) {
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
    hosts_.push_back({endpoint_quota(name), name, now_});
    Read(hosts_.back());
  }

  void Step() {
    now_ += kStep;
    for (auto& one : hosts_) {
      if (!one.dead) {
        Read(one);
        Send(one);
      }
    }
    while (!sent_.empty() && now_ - sent_.front() >= kWindow) {
      sent_.pop_front();
    }
  }

  /// @brief Calls in the last window, of hosts that were told before.
  std::size_t InWindow() const { return sent_.size(); }
  std::size_t size() const { return hosts_.size(); }
  void Kill(std::size_t host) { hosts_[host].dead = true; }
  /// @brief It loses the store and goes on with the list that it has.
  void Part(std::size_t host, duration time) {
    hosts_[host].parted_until = now_ + time;
  }
  void Heal() { heals_ = true; }
  /// @brief Hosts that know that the quota is over.
  std::size_t Freed() const {
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.end(),
                      [](const auto& one) { return one.freed; }));
  }

 private:
  struct host {
    endpoint_quota quota;
    std::string name;
    duration joined{0};
    duration read_at{0};
    duration parted_until{0};
    duration told_at{0};
    std::size_t listed = 0;
    bool is_told = false;
    bool freed = false;
    bool dead = false;
  };

  time_point Now() const { return time_point(std::chrono::hours(1)) + now_; }

  void Send(host& one) {
    if (one.freed) {
      return;
    }
    const bool obeys = one.is_told && now_ - one.told_at >= kHeard;
    if (!obeys) {
      one.told_at = one.is_told ? one.told_at : now_;
      one.is_told = true;
      return;
    }
    const bool counted =
        now_ - one.joined >= kSettling && now_ - one.read_at < kListAge;
    const auto share =
        counted ? quota_share::kCounted : quota_share::kUncounted;
    while (one.quota.Allows(kEndpoint, per_second_, share, Now())) {
      one.quota.NoteSent(kEndpoint, per_second_, Now());
      sent_.push_back(now_);
      one.freed = heals_;
    }
  }

  void Read(host& one) {
    if (now_ < one.parted_until) {
      return;
    }
    one.read_at = now_;
    if (one.listed == hosts_.size()) {
      return;
    }
    one.listed = hosts_.size();
    std::vector<std::string> names;
    for (const auto& other : hosts_) {
      names.push_back(other.name);
    }
    one.quota.SetHosts(names);
  }

  double per_second_;
  std::vector<host> hosts_;
  duration now_{0};
  std::deque<duration> sent_;
  bool heals_ = false;
};

class endpoint_quota_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_quota_test);
  CPPUNIT_TEST(NoWindowGetsMoreThanIsToleratedWhoeverSeesWhom);
  CPPUNIT_TEST(HundredsOfHostsKeepASmallQuota);
  CPPUNIT_TEST(MostOfTheQuotaIsUsed);
  CPPUNIT_TEST(AllHostsLearnThatAQuotaIsOver);
  CPPUNIT_TEST(TwoHomesKeepTheQuota);
  CPPUNIT_TEST_SUITE_END();

  // Hosts that see different lists send an endpoint in need too much together.
  void NoWindowGetsMoreThanIsToleratedWhoeverSeesWhom() {
    CPPUNIT_ASSERT(rc::check("the hosts together keep the quota", [] {
      const auto hosts = *rc::gen::element<std::size_t>(1, 2, 3, 7, 30);
      const double per_second = *rc::gen::inRange(0, 80) / 4.0;
      quota_fleet fleet(hosts, per_second);
      for (int step = 0; step < 360; ++step) {
        const auto host = *rc::gen::inRange<std::size_t>(0, fleet.size());
        switch (*rc::gen::inRange(0, 40)) {
          case 0:
            fleet.Join();
            break;
          case 1:
            fleet.Kill(host);
            break;
          case 2:
          case 3:
            fleet.Part(host, milliseconds(*rc::gen::inRange(0, 40'000)));
            break;
          default:
            break;
        }
        fleet.Step();
        RC_ASSERT(fleet.InWindow() <= Tolerated(per_second));
      }
    }));
  }

  void HundredsOfHostsKeepASmallQuota() {
    for (const std::size_t hosts : {64U, 195U, 390U}) {
      for (const double per_second : {0.0, 1.0, 1.5, 8.0}) {
        quota_fleet fleet(hosts, per_second);
        for (int step = 0; step < 300; ++step) {
          fleet.Step();
          CPPUNIT_ASSERT(fleet.InWindow() <= Tolerated(per_second));
        }
      }
    }
  }

  // An endpoint in need is left alone altogether.
  void MostOfTheQuotaIsUsed() {
    for (const std::size_t hosts : {1U, 2U, 7U, 64U, 195U, 390U, 1000U}) {
      for (const double per_second : {1.0, 1.3, 5.0}) {
        quota_fleet fleet(hosts, per_second);
        std::size_t seen = 0;
        constexpr int kSteps = 200;
        for (int step = 0; step < kSteps; ++step) {
          fleet.Step();
          seen += fleet.InWindow();
        }
        CPPUNIT_ASSERT(static_cast<double>(2 * seen) >=
                       per_second * kWindow.count() * kSteps);
      }
    }
  }

  // Hosts that send nothing are never told that the endpoint has recovered.
  void AllHostsLearnThatAQuotaIsOver() {
    quota_fleet fleet(7, 1.0);
    for (int step = 0; step < 100; ++step) {
      fleet.Step();
    }
    fleet.Heal();
    for (int step = 0; step < 600; ++step) {
      fleet.Step();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, fleet.Freed());
  }

  void TwoHomesKeepTheQuota() {
    for (const double per_second : {0.0, 0.5, 1.0, 3.0, 20.0}) {
      endpoint_quota first("h1");
      endpoint_quota second("h2");
      std::size_t sent = 0;
      for (int i = 0; i < 39; ++i) {
        const auto now = time_point(std::chrono::hours(1)) + i * kStep;
        for (auto* home : {&first, &second}) {
          while (home->Allows(kEndpoint, per_second, quota_share::kHome, now)) {
            home->NoteSent(kEndpoint, per_second, now);
            ++sent;
          }
        }
      }
      CPPUNIT_ASSERT(sent >= 2 && sent <= Tolerated(per_second));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_quota_test);

}  // namespace
}  // namespace slatestall
