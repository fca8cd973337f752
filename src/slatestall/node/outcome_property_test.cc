#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "slatestall/node/outcome_test_caller.h"

namespace slatestall {
namespace {

using outcome_test::run_plan;
using outcome_test::sending;
using outcome_test::test_caller;
using outcome_test::test_world;

constexpr int kHosts = 4;
constexpr int kKeys = 6;
constexpr int kSendings = 5;
constexpr int kFaultyMs = 12'000;
constexpr milliseconds kHealed{60'000};

struct planned_key {
  std::string workspace;
  std::string key;
  bool is_minted = false;
};

/// Which faults a run has besides lost messages.
struct chaos {
  bool kills = false;
  bool pauses = false;
  bool drains = false;
  bool outages = false;
};

outcome_options Options() {
  outcome_options options;
  options.claim_partitions = 2;
  return options;
}

class chaos_run {
 public:
  chaos_run(std::uint64_t seed, chaos faults)
      : world_(seed, kHosts, Options()), caller_(world_), faults_(faults) {
    start_ = world_.Time().Now();
  }

  void Play() {
    auto& rates = world_.Faults();
    rates = {0.15, 0.1, 0.1, 0.08, 0.02};
    PlanKeys();
    PlanFaults();
    world_.Time().RunUntil(start_ + milliseconds{kFaultyMs});
    rates = {};
    world_.SetLogDown(false);
    world_.Time().RunUntil(start_ + kHealed);
    ResendAll();
    world_.Time().RunUntil(start_ + 2 * kHealed);
  }

  void Check() const {
    const std::string violation = caller_.Violation();
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
    for (std::size_t at = 0; at < keys_.size(); ++at) {
      CheckHealed(keys_[at], *last_[at]);
    }
    for (const auto& fresh : fresh_) {
      RC_ASSERT(fresh->decision->verdict == claim_verdict::kRun);
    }
  }

 private:
  std::string AnyHost() {
    const auto names = world_.HostNames();
    return names[world_.Random()() % names.size()];
  }

  std::string AnyUsableHost() {
    for (const auto& name : world_.HostNames()) {
      if (world_.IsAlive(name) && !draining_.contains(name)) {
        return name;
      }
    }
    return "";
  }

  run_plan AnyPlan() {
    return {world_.Between(0, 300), world_.Chance(0.2),
            world_.Between(1, 1500)};
  }

  void PlanKeys() {
    for (int number = 0; number < kKeys; ++number) {
      planned_key key;
      key.workspace = number % 3 == 0 ? "shop" : "legal";
      key.is_minted = number % 2 == 0;
      key.key = key.is_minted ? caller_.Mint(AnyHost(), key.workspace)
                              : "own-" + std::to_string(number / 2 % 2);
      keys_.push_back(key);
      for (int copy = 0; copy < kSendings; ++copy) {
        PlanSending(key);
      }
    }
  }

  void PlanSending(const planned_key& key) {
    world_.Time().After(world_.Between(0, kFaultyMs - 4000), [this, key] {
      const std::string host = AnyHost();
      if (!world_.IsAlive(host)) {
        return;
      }
      const std::uint64_t body = world_.Chance(0.1) ? 8 : 7;
      caller_.Send(host, key.workspace, key.key, body,
                   world_.Between(500, 4000), AnyPlan());
    });
  }

  void PlanFaults() {
    for (int number = 0; number < 3; ++number) {
      world_.Time().After(world_.Between(100, kFaultyMs - 2000),
                          [this] { OneFault(); });
    }
  }

  void OneFault() {
    const std::string host = AnyHost();
    switch (world_.Random()() % 5) {
      case 0:
        if (faults_.kills && world_.IsAlive(host) &&
            !draining_.contains(host)) {
          world_.Kill(host);
          killed_any_ = true;
          world_.Time().After(world_.Between(10, 4000),
                              [this, host] { world_.Start(host); });
        }
        break;
      case 1:
        if (faults_.pauses && world_.IsAlive(host)) {
          world_.Pause(host, world_.Between(100, 5000));
        }
        break;
      case 2:
        if (faults_.drains && draining_.size() < 2 && world_.IsAlive(host) &&
            draining_.insert(host).second) {
          world_.Drain(host, [] {});
        }
        break;
      case 3:
        if (faults_.outages) {
          world_.SetLogDown(true);
          world_.Time().After(world_.Between(100, 4000),
                              [this] { world_.SetLogDown(false); });
        }
        break;
      default:
        world_.SetCutOff(host, true);
        world_.Time().After(world_.Between(100, 3000),
                            [this, host] { world_.SetCutOff(host, false); });
        break;
    }
  }

  void ResendAll() {
    const std::string host = AnyUsableHost();
    for (const auto& key : keys_) {
      runs_before_.push_back(caller_.Dispatches(key.workspace, key.key));
      last_.push_back(caller_.Send(host, key.workspace, key.key, 7,
                                   milliseconds{6000}, {}));
    }
    fresh_.push_back(
        caller_.Send(host, "shop", "fresh", 7, milliseconds{6000}, {}));
    fresh_.push_back(caller_.Send(host, "shop", caller_.Mint(host, "shop"), 7,
                                  milliseconds{6000}, {}));
  }

  // Without a kill everything is known once the faults are over: a key that
  // ran gives its outcome, one that did not run may run now.
  void CheckHealed(const planned_key& key, const sending& last) const {
    RC_ASSERT(last.decisions == 1);
    if (killed_any_) {
      return;
    }
    const claim_decision& decision = *last.decision;
    if (decision.verdict == claim_verdict::kRefused) {
      if (decision.refusal != error_kind::kKeyReused) {
        RC_FAIL(last.request.key + " is still refused: " + decision.detail);
      }
      return;
    }
    const bool ran_before =
        caller_.Outcome(key.workspace, key.key).has_value() && !last.dispatched;
    RC_ASSERT((decision.verdict == claim_verdict::kAnswered) == ran_before);
  }

  test_world world_;
  test_caller caller_;
  chaos faults_;
  time_point start_;
  std::vector<planned_key> keys_;
  std::set<std::string> draining_;
  std::vector<int> runs_before_;
  std::vector<std::shared_ptr<sending>> last_;
  std::vector<std::shared_ptr<sending>> fresh_;
  bool killed_any_ = false;
};

void Hold(chaos faults) {
  CPPUNIT_ASSERT(rc::check([faults] {
    const auto seed = *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    chaos_run run(seed, faults);
    run.Play();
    run.Check();
  }));
}

/// The invariants of keyed requests over thousands of interleavings.
class outcome_property_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(outcome_property_test);
  CPPUNIT_TEST(HoldsWhenMessagesAreLost);
  CPPUNIT_TEST(HoldsWhenHostsPauseAndTheLogIsDown);
  CPPUNIT_TEST(HoldsWhenHostsDrain);
  CPPUNIT_TEST(HoldsWhenEverythingFails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HoldsWhenMessagesAreLost() { Hold({}); }
  void HoldsWhenHostsPauseAndTheLogIsDown() {
    Hold({false, true, false, true});
  }
  void HoldsWhenHostsDrain() { Hold({false, true, true, true}); }
  void HoldsWhenEverythingFails() { Hold({true, true, true, true}); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_property_test);

}  // namespace
}  // namespace slatestall
