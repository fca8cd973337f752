// Property tests of share_divider and share_allocator together.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <memory>
#include <numeric>

#include "slatestall/policy/share_allocator.h"
#include "slatestall/policy/share_divider.h"

namespace slatestall {
namespace {

using std::chrono::seconds;

constexpr double kLimit = 120;
constexpr const char* kWorkspace = "shop";
constexpr int kSettled = 40;  // Seconds after which no old grant runs.

/// Hosts that share one workspace; each side of a partition has an allocator.
class share_group {
 public:
  explicit share_group(std::size_t hosts) : sides_(hosts, 0) {
    for (std::size_t i = 0; i < hosts; ++i) {
      dividers_.emplace_back(rules_);
      workspace_config config;
      config.limits = {kLimit, 0, 0};
      dividers_[i].UseLimits({{kWorkspace, config}});
    }
    allocators_.assign(2, share_allocator(rules_));
  }

  std::size_t Size() const { return dividers_.size(); }
  void SetDemand(std::size_t host, double demand) {
    dividers_[host].UseDemand(kWorkspace, {demand, 0, 0});
  }
  void Part(std::size_t from) {
    std::fill(sides_.begin() + static_cast<std::ptrdiff_t>(from), sides_.end(),
              1);
  }
  void Heal() { std::fill(sides_.begin(), sides_.end(), 0); }
  void LoseAllocators() { allocators_.assign(2, share_allocator(rules_)); }
  void SetAllocatorUp(bool up) { allocator_up_ = up; }

  /// One second; hosts know of a partition when `seen`.
  void Step(bool seen) {
    now_ += seconds(1);
    const auto known = static_cast<std::uint32_t>(Size());
    for (std::uint32_t side = 0; side < 2; ++side) {
      const auto reachable = static_cast<std::uint32_t>(
          std::count(sides_.begin(), sides_.end(), side));
      allocators_[side].UseHosts(known, seen ? reachable : known);
      allocators_[side].Tick(now_);
    }
    for (std::size_t i = 0; i < Size(); ++i) {
      dividers_[i].UseHosts(known);
      Ask(i, seen);
    }
  }

  double ShareOf(std::size_t host) const {
    return dividers_[host].Shares(now_).at(kWorkspace).requests_per_second;
  }
  double Sum() const {
    double sum = 0;
    for (std::size_t i = 0; i < Size(); ++i) {
      sum += ShareOf(i);
    }
    return sum;
  }

 private:
  void Ask(std::size_t host, bool seen) {
    // Until the partition is seen, the far side asks an allocator that does
    // not answer.
    const std::size_t side = sides_[host];
    for (const share_request& request : dividers_[host].TakeDue(now_)) {
      if (!allocator_up_ || (side == 1 && !seen)) {
        dividers_[host].AskFailed(kWorkspace, now_);
        continue;
      }
      dividers_[host].TakeGrant(
          allocators_[side].Ask(std::to_string(host), request, {kLimit, 0, 0},
                                now_),
          now_);
    }
  }

  share_rules rules_;
  std::vector<share_divider> dividers_;
  std::vector<share_allocator> allocators_;
  std::vector<std::uint32_t> sides_;
  bool allocator_up_ = true;
  time_point now_ = time_point(seconds(1000));
};

share_group AnyGroup() {
  share_group group(*rc::gen::inRange<std::size_t>(1, 40));
  for (std::size_t i = 0; i < group.Size(); ++i) {
    group.SetDemand(i, *rc::gen::inRange(0, 300) / 10.0);
  }
  return group;
}

void Settle(share_group& group, bool seen = true) {
  for (int i = 0; i < kSettled; ++i) {
    group.Step(seen);
  }
}

void ChangeDemand(share_group& group) {
  const auto host = *rc::gen::inRange<std::size_t>(0, group.Size());
  group.SetDemand(host, *rc::gen::inRange(0, 300) / 10.0);
}

class share_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(share_test);
  CPPUNIT_TEST(SumNeverPassesTheLimitWhileDemandMoves);
  CPPUNIT_TEST(WhatIsAskedIsGivenWhereItFits);
  CPPUNIT_TEST(IdleShareIsLentAndTakenBack);
  CPPUNIT_TEST(PartitionStaysInItsBound);
  CPPUNIT_TEST(NewAllocatorLearnsBeforeItLends);
  CPPUNIT_TEST(WithoutAllocatorEachHasItsEqualPart);
  CPPUNIT_TEST(NoLimitStaysNoLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SumNeverPassesTheLimitWhileDemandMoves() {
    CPPUNIT_ASSERT(rc::check("sum of shares <= limit", [] {
      share_group group = AnyGroup();
      for (int i = 0; i < 60; ++i) {
        ChangeDemand(group);
        group.Step(true);
        RC_ASSERT(group.Sum() <= kLimit * 1.0001);
        for (std::size_t host = 0; host < group.Size(); ++host) {
          RC_ASSERT(group.ShareOf(host) > 0);
        }
      }
    }));
  }

  // In steady state either every host has what it asks, or no more than a
  // tenth of what could be lent lies idle.
  void WhatIsAskedIsGivenWhereItFits() {
    CPPUNIT_ASSERT(rc::check("steady demand is served", [] {
      const auto hosts = *rc::gen::inRange<std::size_t>(1, 40);
      share_group group(hosts);
      std::vector<double> demand(hosts);
      for (std::size_t i = 0; i < hosts; ++i) {
        demand[i] = *rc::gen::inRange(0, 300) / 10.0;
        group.SetDemand(i, demand[i]);
      }
      Settle(group);
      const double floor =
          share_rules().floor_part * kLimit / static_cast<double>(hosts);
      double used = 0;
      double idle_floors = 0;
      bool all_served = true;
      for (std::size_t i = 0; i < hosts; ++i) {
        used += std::min(demand[i], group.ShareOf(i));
        idle_floors += std::max(0.0, floor - demand[i]);
        all_served = all_served && group.ShareOf(i) >= demand[i] * 0.999;
      }
      RC_ASSERT(all_served ||
                used + idle_floors >= 0.75 * kLimit / share_rules().headroom);
      RC_ASSERT(all_served || group.Sum() >= 0.9 * kLimit);
    }));
  }

  // One host is busy while seven idle: it gets what they do not use. When they
  // turn busy too, it is down to its equal part within two rounds of asking.
  void IdleShareIsLentAndTakenBack() {
    share_group group(8);
    group.SetDemand(0, kLimit);
    Settle(group);
    CPPUNIT_ASSERT(group.ShareOf(0) > 0.7 * kLimit);
    for (std::size_t i = 1; i < 8; ++i) {
      group.SetDemand(i, kLimit);
    }
    for (int i = 0; i < 12; ++i) {
      group.Step(true);
      CPPUNIT_ASSERT(group.Sum() <= kLimit * 1.0001);
    }
    for (std::size_t i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(std::abs(group.ShareOf(i) - kLimit / 8) < kLimit / 80);
    }
  }

  // The hosts fall into two sides. The far side loses its allocator at once,
  // gets its own once it sees the partition, and after an hour all is healed.
  // Over-admission is bounded throughout and ends when the old grants end.
  void PartitionStaysInItsBound() {
    CPPUNIT_ASSERT(rc::check("partition bound", [] {
      share_group group = AnyGroup();
      RC_PRE(group.Size() >= 2U);
      Settle(group);
      const auto from = *rc::gen::inRange<std::size_t>(1, group.Size());
      const double far = static_cast<double>(group.Size() - from) /
                         static_cast<double>(group.Size());
      const double bound =
          kLimit * (1 + (1 - share_rules().floor_part) * far) * 1.0001;
      group.Part(from);
      const int unseen = *rc::gen::inRange(1, 20);
      for (int i = 0; i < unseen + kSettled; ++i) {
        ChangeDemand(group);
        group.Step(i >= unseen);
        RC_ASSERT(group.Sum() <= bound);
      }
      Settle(group);
      RC_ASSERT(group.Sum() <= kLimit * 1.0001);
      group.Heal();
      for (int i = 0; i < kSettled; ++i) {
        ChangeDemand(group);
        group.Step(true);
        RC_ASSERT(group.Sum() <= bound);
      }
      Settle(group);
      RC_ASSERT(group.Sum() <= kLimit * 1.0001);
    }));
  }

  // The allocator dies with all it knew. What it lent still runs; its
  // successor must not lend the same again.
  void NewAllocatorLearnsBeforeItLends() {
    CPPUNIT_ASSERT(rc::check("a new allocator keeps the limit", [] {
      share_group group = AnyGroup();
      Settle(group);
      group.LoseAllocators();
      for (int i = 0; i < kSettled; ++i) {
        group.Step(true);
        RC_ASSERT(group.Sum() <= kLimit * 1.1);
      }
      RC_ASSERT(group.Sum() <= kLimit * 1.0001);
    }));
  }

  // No peer answers any more. Each host is down to its equal part: neither the
  // whole limit, which the others would take too, nor nothing.
  void WithoutAllocatorEachHasItsEqualPart() {
    share_group group(6);
    for (std::size_t i = 0; i < 6; ++i) {
      group.SetDemand(i, kLimit);
    }
    Settle(group);
    group.SetAllocatorUp(false);
    Settle(group);
    for (std::size_t i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(kLimit / 6, group.ShareOf(i), 0.001);
    }
  }

  void NoLimitStaysNoLimit() {
    share_divider divider{share_rules()};
    divider.UseLimits({{kWorkspace, workspace_config()}});
    divider.UseHosts(8);
    divider.UseDemand(kWorkspace, {100, 100, 100});
    CPPUNIT_ASSERT(divider.TakeDue(time_point(seconds(1))).empty());
    const auto share = divider.Shares(time_point(seconds(1))).at(kWorkspace);
    CPPUNIT_ASSERT_EQUAL(0.0, share.requests_per_second);
    CPPUNIT_ASSERT_EQUAL(0.0, share.concurrency);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_test);

}  // namespace
}  // namespace slatestall
