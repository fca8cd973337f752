#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "slatestall/node/outcome_test_caller.h"

namespace slatestall {
namespace {

using outcome_test::run_plan;
using outcome_test::sending;
using outcome_test::test_caller;
using outcome_test::test_world;

constexpr milliseconds kDeadline{2000};
constexpr std::uint64_t kBody = 7;
const run_plan kQuick{milliseconds{0}, false, milliseconds{10}};

class outcome_layout_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(outcome_layout_test);
  CPPUNIT_TEST(HostWithAnotherNumberClaimsNothing);
  CPPUNIT_TEST(NothingIsClaimedBeforeTheNumberIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    outcome_options options;
    options.claim_partitions = 4;
    world_ = std::make_unique<test_world>(1, 4, options);
    caller_ = std::make_unique<test_caller>(*world_);
  }

  void tearDown() override {
    CPPUNIT_ASSERT_EQUAL(std::string(), caller_->Violation());
    world_.reset();
  }

  // The caller's bill would be sent twice. A host comes back with another
  // `claim_partitions`, so it looks for used keys in other streams, where they
  // are free. It must refuse callers' keys, say why, and take no part in
  // claims of other hosts; minted keys, which need no stream, go on there.
  void HostWithAnotherNumberClaimsNothing() {
    Run(milliseconds{1500});
    for (int number = 0; number < 20; ++number) {
      AssertVerdict(Send("e0", Key(number)), claim_verdict::kRun);
    }
    world_->Kill("e3");
    world_->Options().claim_partitions = 7;
    world_->Start("e3");
    Run(milliseconds{5000});
    for (int number = 0; number < 20; ++number) {
      const auto refused = Send("e3", Key(number));
      AssertVerdict(refused, claim_verdict::kRefused);
      const std::string reason =
          "this host's setting claim_partitions is 7, but the log's stream "
          "claim-layout says 4";
      CPPUNIT_ASSERT(refused->decision->detail.find(reason) !=
                     std::string::npos);
      AssertVerdict(Send("e1", Key(number)), claim_verdict::kAnswered);
    }
    AssertVerdict(Send("e3", caller_->Mint("e3", "shop")), claim_verdict::kRun);
  }

  // All hosts start while the log is down. Nobody knows the number in the log,
  // so a caller's key is refused; a minted one runs. Once the log is back the
  // same key runs, with no host being restarted.
  void NothingIsClaimedBeforeTheNumberIsKnown() {
    world_->SetLogDown(true);
    Run(milliseconds{1500});
    AssertVerdict(Send("e0", Key(0)), claim_verdict::kRefused);
    AssertVerdict(Send("e0", caller_->Mint("e1", "shop")), claim_verdict::kRun);
    world_->SetLogDown(false);
    Run(std::chrono::seconds{10});
    AssertVerdict(Send("e2", Key(0)), claim_verdict::kRun);
    AssertVerdict(Send("e1", Key(0)), claim_verdict::kAnswered);
  }

 private:
  void Run(milliseconds length) {
    world_->Time().RunUntil(world_->Time().Now() + length);
  }

  static std::string Key(int number) { return "own-" + std::to_string(number); }

  std::shared_ptr<sending> Send(const std::string& host,
                                const std::string& key) {
    auto sent = caller_->Send(host, "shop", key, kBody, kDeadline, kQuick);
    Run(kDeadline + milliseconds{100});
    return sent;
  }

  static void AssertVerdict(const std::shared_ptr<sending>& sent,
                            claim_verdict verdict) {
    CPPUNIT_ASSERT(sent->decision.has_value());
    CPPUNIT_ASSERT(sent->decision->verdict == verdict);
  }

  std::unique_ptr<test_world> world_;
  std::unique_ptr<test_caller> caller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_layout_test);

}  // namespace
}  // namespace slatestall
