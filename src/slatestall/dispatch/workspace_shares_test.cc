#include "slatestall/dispatch/workspace_shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kStep{5};
constexpr milliseconds kWork{10};

/// A shard that admits whatever comes first while its backlog is short enough.
class shared_shard {
 public:
  /// @param per_second Requests that it can admit.
  explicit shared_shard(double per_second) : per_second_(per_second) {}

  /// @param demands Requests a second, by workspace; those with most first.
  void Run(const std::vector<std::pair<std::string, double>>& demands,
           milliseconds time) {
    admitted_.clear();
    idle_steps_ = 0;
    const time_point end = now_ + time;
    for (; now_ < end; now_ += kStep) {
      const double step = std::chrono::duration<double>(kStep).count();
      idle_steps_ += backlog_ < per_second_ * step ? 1 : 0;
      backlog_ = std::max(0.0, backlog_ - per_second_ * step);
      for (const auto& [workspace, demand] : demands) {
        auto& owed = owed_[workspace];
        owed += demand * step;
        for (; owed >= 1; owed -= 1) {
          Ask(workspace);
        }
      }
    }
  }

  int Admitted(const std::string& workspace) { return admitted_[workspace]; }
  int IdleSteps() const { return idle_steps_; }
  int Bounded() const { return bounded_; }
  workspace_shares& Shares() { return shares_; }
  time_point Now() const { return now_; }

 private:
  void Ask(const std::string& workspace) {
    shares_.NoteDemand(workspace, kWork, now_);
    const bool is_over = shares_.IsOver(workspace, now_);
    bounded_ += is_over ? 1 : 0;
    if (backlog_ + 1 > per_second_ * (is_over ? kOverSeconds : kSeconds)) {
      shares_.NoteRefused(now_);
    } else {
      backlog_ += 1;
      shares_.NoteAdmitted(workspace, kWork, now_);
      ++admitted_[workspace];
    }
  }

  /// Backlog that can be in time, and what those over their share may fill.
  static constexpr double kSeconds = 0.5;
  static constexpr double kOverSeconds = 0.25;

  workspace_shares shares_;
  double per_second_;
  double backlog_ = 0;
  time_point now_ = kStart;
  int bounded_ = 0;
  int idle_steps_ = 0;
  std::map<std::string, double> owed_;
  std::map<std::string, int> admitted_;
};

std::vector<std::pair<std::string, double>> OneLargeAmongMany(double large,
                                                              double each) {
  std::vector<std::pair<std::string, double>> demands{{"large", large}};
  for (int i = 0; i < 15; ++i) {
    demands.emplace_back("w" + std::to_string(i), each);
  }
  return demands;
}

class workspace_shares_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(workspace_shares_test);
  CPPUNIT_TEST(OneAtTenTimesItsShareTakesNothingFromTheOthers);
  CPPUNIT_TEST(WithRoomForAllNobodyIsBounded);
  CPPUNIT_TEST(WhatOneLeavesIsLentAndComesBack);
  CPPUNIT_TEST(NothingIsWithheldThatNobodyElseAsksFor);
  CPPUNIT_TEST(SharesAreMaxMinFair);
  CPPUNIT_TEST(HundredsOfWorkspacesAreBounded);
  CPPUNIT_TEST(TheOnlyWorkspaceIsNeverOverItsShare);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a workspace that takes the room because it asks first and
  // most.
  void OneAtTenTimesItsShareTakesNothingFromTheOthers() {
    shared_shard shard(250);  // 375 a second are asked for.
    const auto demands = OneLargeAmongMany(150, 15);
    shard.Run(demands, milliseconds(2000));
    shard.Run(demands, milliseconds(5000));
    for (int i = 0; i < 15; ++i) {
      // 15 a second each, which is less than an equal share.
      CPPUNIT_ASSERT(shard.Admitted("w" + std::to_string(i)) >= 0.9 * 15 * 5);
    }
    CPPUNIT_ASSERT(shard.Admitted("large") > 0);
  }

  void WithRoomForAllNobodyIsBounded() {
    shared_shard shard(500);
    shard.Run(OneLargeAmongMany(150, 15), milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(0, shard.Bounded());
  }

  void WhatOneLeavesIsLentAndComesBack() {
    shared_shard shard(100);
    shard.Run({{"a", 150}, {"b", 150}}, milliseconds(4000));
    CPPUNIT_ASSERT(shard.Admitted("b") >= 0.85 * 200);
    shard.Run({{"a", 150}}, milliseconds(2000));
    shard.Run({{"a", 150}}, milliseconds(1000));
    CPPUNIT_ASSERT(shard.Admitted("a") >= 90);
    shard.Run({{"a", 150}, {"b", 150}}, milliseconds(500));
    shard.Run({{"a", 150}, {"b", 150}}, milliseconds(1000));
    CPPUNIT_ASSERT(shard.Admitted("b") >= 0.85 * 50);
  }

  // Guards against shares that lower what is admitted in all.
  void NothingIsWithheldThatNobodyElseAsksFor() {
    shared_shard shard(200);
    const auto demands = OneLargeAmongMany(400, 5);
    shard.Run(demands, milliseconds(2000));
    shard.Run(demands, milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(0, shard.IdleSteps());
    CPPUNIT_ASSERT(shard.Admitted("large") > 0.9 * (200 - 75) * 5);
  }

  void SharesAreMaxMinFair() {
    CPPUNIT_ASSERT(rc::check("shares are max-min fair", [] {
      workspace_shares shares;
      const auto demands =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000));
      RC_PRE(demands.size() > 1U);
      // Tells the rate that a millisecond of work counts as.
      shares.NoteDemand("whole", milliseconds(1000), kStart);
      shares.NoteAdmitted("whole", milliseconds(1000), kStart);
      double asked = 1000;
      double admitted = 1000;
      for (std::size_t i = 0; i < demands.size(); ++i) {
        const auto name = std::to_string(i);
        const auto part = *rc::gen::inRange(0, demands[i] + 1);
        shares.NoteDemand(name, milliseconds(demands[i]), kStart);
        shares.NoteAdmitted(name, milliseconds(part), kStart);
        asked += demands[i];
        admitted += part;
      }
      shares.NoteRefused(kStart);
      const auto share = shares.Share(kStart);
      if (admitted >= asked) {
        RC_ASSERT(!share);
        return;
      }
      // Nobody leaves room to others who ask next to nothing.
      constexpr double kLeastShare = 0.05;
      const double rate_of_ms = shares.Use("whole", kStart) / 1000.0;
      const double most =
          std::max(1000, *std::max_element(demands.begin(), demands.end()));
      if ((asked - most) * rate_of_ms < kLeastShare) {
        RC_ASSERT(!share);
        return;
      }
      RC_ASSERT(share.has_value());
      // Demands that are filled up to it take just what was admitted.
      double filled = std::min(1000 * rate_of_ms, *share);
      for (const int demand : demands) {
        filled += std::min(demand * rate_of_ms, *share);
      }
      RC_ASSERT(filled >= admitted * rate_of_ms - 1e-6);
      RC_ASSERT(*share == kLeastShare ||
                filled <= admitted * rate_of_ms + 1e-6);
    }));
  }

  void HundredsOfWorkspacesAreBounded() {
    workspace_shares shares;
    for (int i = 0; i < 2000; ++i) {
      shares.NoteDemand(std::to_string(i), kWork, kStart + milliseconds(i));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, shares.Known());
  }

  // Guards against bounding the only workspace of a shard: its use grew faster
  // than the share, which is found only now and then.
  void TheOnlyWorkspaceIsNeverOverItsShare() {
    workspace_shares shares;
    for (int i = 0; i < 200; ++i) {
      const time_point now = kStart + milliseconds(i);
      shares.NoteDemand("only", 2 * kWork, now);
      CPPUNIT_ASSERT(!shares.IsOver("only", now));
      shares.NoteAdmitted("only", kWork, now);
      shares.NoteRefused(now);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_shares_test);

}  // namespace
}  // namespace slatestall
