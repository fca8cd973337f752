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
const run_plan kNeverEnds{milliseconds{0}, false, std::chrono::hours{9}};

outcome_options SmallOptions() {
  outcome_options options;
  options.claim_partitions = 1;
  options.max_outcome_bytes = 100;
  options.max_home_keys = 4;
  return options;
}

class outcome_failure_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(outcome_failure_test);
  CPPUNIT_TEST(LostAppendAnswer);
  CPPUNIT_TEST(LogDownForAnHour);
  CPPUNIT_TEST(LogDownWhileTheRequestRuns);
  CPPUNIT_TEST(HolderDiesAfterDispatch);
  CPPUNIT_TEST(PausedHolderWakes);
  CPPUNIT_TEST(WriterRestarts);
  CPPUNIT_TEST(HomeDies);
  CPPUNIT_TEST(HomeCannotBeReached);
  CPPUNIT_TEST(HomeDrains);
  CPPUNIT_TEST(SuccessorThatWasNotNamed);
  CPPUNIT_TEST(SecondRequestWaitsForTheFirst);
  CPPUNIT_TEST(SecondRequestRunsOutOfTime);
  CPPUNIT_TEST(AnswerTooLargeToKeep);
  CPPUNIT_TEST(HomeIsFull);
  CPPUNIT_TEST(LookupTellsWithoutClaiming);
  CPPUNIT_TEST(HooksOutliveTheService);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<test_world>(1, 4, SmallOptions());
    caller_ = std::make_unique<test_caller>(*world_);
    Run(milliseconds{1500});
  }

  void tearDown() override {
    CPPUNIT_ASSERT_EQUAL(std::string(), caller_->Violation());
    world_.reset();
  }

  // The log takes the claim, but its answer is lost. The writer must not
  // append blindly: it reads, finds its own claim and the request runs once.
  // The caller sees nothing but a little more time.
  void LostAppendAnswer() {
    world_->Faults().lost_append_answer = 1;
    const auto sent = Send("e0", "own", kQuick);
    Run(kDeadline);
    AssertRan(*sent);
    AssertAnswered(*Resend("e1", "own"));
  }

  // The log is down for an hour. A caller's own key is refused as not run
  // within the deadline, with a time to try again; a minted key runs as ever.
  // After the outage the very same key runs, since the refusals have left
  // nothing behind that holds it.
  void LogDownForAnHour() {
    world_->SetLogDown(true);
    const auto minted = Send("e0", caller_->Mint("e1", "shop"), kQuick);
    for (int minute = 0; minute < 60; minute += 10) {
      const auto refused = Send("e2", "own", kQuick);
      Run(std::chrono::minutes{10});
      AssertRefused(*refused, error_kind::kClaimUnavailable);
      CPPUNIT_ASSERT(refused->decision->retry_after > milliseconds{0});
      CPPUNIT_ASSERT(refused->decided < refused->request.deadline);
    }
    AssertRan(*minted);
    world_->SetLogDown(false);
    Run(std::chrono::minutes{1});
    AssertRan(*Resend("e3", "own"));
  }

  // The log goes down while a claimed request runs, for an hour. It ends as
  // usual; its outcome waits in its host's memory. Once the log is back any
  // other host gives it.
  void LogDownWhileTheRequestRuns() {
    const run_plan slow{milliseconds{0}, false, milliseconds{1000}};
    const auto sent = Send("e0", "own", slow);
    Run(milliseconds{500});
    world_->SetLogDown(true);
    Run(std::chrono::hours{1});
    AssertAnswered(*Resend("e0", "own"));
    world_->SetLogDown(false);
    Run(std::chrono::minutes{1});
    AssertAnswered(*Resend("e3", "own"));
    AssertRan(*sent);
  }

  // The holder dies after it dispatched. Nobody knows what became of the
  // call, so nobody may run it again: a resend is told to wait while the
  // holder may still live, and "outcome unknown" once it is known to be gone.
  void HolderDiesAfterDispatch() {
    Send("e0", "own", kNeverEnds);
    Run(milliseconds{1000});
    world_->Kill("e0");
    const auto early = Send("e1", "own", kQuick, milliseconds{500});
    Run(milliseconds{600});
    AssertRefused(*early, error_kind::kRequestInProgress);
    Run(std::chrono::seconds{5});
    AssertRefused(*Resend("e1", "own"), error_kind::kOutcomeUnknown);
  }

  // A host wins its claim, is paused before it dispatches, and wakes after the
  // deadline. Meanwhile a resend elsewhere was refused. The sleeper may not
  // dispatch any more and gives the key back, so a third sending runs.
  void PausedHolderWakes() {
    const auto sent =
        Send("e0", "own", {milliseconds{900}, false, milliseconds{1}});
    Run(milliseconds{600});
    world_->Pause("e0", std::chrono::seconds{10});
    const auto other = Resend("e1", "own");
    AssertRefused(*other, error_kind::kRequestInProgress);
    Run(std::chrono::seconds{20});
    CPPUNIT_ASSERT(!sent->dispatched);
    AssertRan(*Resend("e2", "own"));
  }

  // The writer of the claims restarts and has to read a long stream. A caller
  // with little time is not refused meanwhile: the host that followed the
  // stream claims the key, and a key used long before is still known.
  void WriterRestarts() {
    for (int number = 0; number < 150; ++number) {
      Send("e0", "old-" + std::to_string(number), kQuick);
      Run(milliseconds{100});
    }
    const std::string writer = BusiestWriter();
    world_->Kill(writer);
    world_->Start(writer);
    Run(milliseconds{30});
    const std::string other = writer == "e3" ? "e2" : "e3";
    const auto fresh = Send(other, "own", kQuick, milliseconds{600});
    const auto used = Send(other, "old-0", kQuick, milliseconds{600});
    Run(milliseconds{700});
    AssertRan(*fresh);
    AssertAnswered(*used);
  }

  // The home of a minted key dies, and its memory with it. The key may have
  // run, so it never runs again, on any host, even when the home is back
  // under its old name.
  void HomeDies() {
    const std::string key = caller_->Mint("e1", "shop");
    AssertRan(*Resend("e0", key));
    world_->Kill("e1");
    Run(std::chrono::seconds{5});
    AssertRefused(*Resend("e2", key), error_kind::kOutcomeUnknown);
    world_->Start("e1");
    AssertRefused(*Resend("e1", key), error_kind::kOutcomeUnknown);
  }

  // The home lives but cannot be reached. Nothing was sent, so the refusal
  // says "not run", and the same key runs as soon as the home is back.
  void HomeCannotBeReached() {
    const std::string key = caller_->Mint("e1", "shop");
    world_->SetCutOff("e1", true);
    AssertRefused(*Resend("e0", key), error_kind::kClaimUnavailable);
    world_->SetCutOff("e1", false);
    AssertRan(*Resend("e0", key));
  }

  // A home drains and leaves. Its successor gives the outcomes of used keys,
  // runs unused ones once, and refuses forged ones; the drained host mints and
  // runs nothing more.
  void HomeDrains() {
    const std::string used = caller_->Mint("e1", "shop");
    const std::string unused = caller_->Mint("e1", "shop");
    AssertRan(*Resend("e0", used));
    Drain("e1");
    CPPUNIT_ASSERT_EQUAL(std::string(), caller_->Mint("e1", "shop"));
    AssertRefused(*Resend("e1", unused), error_kind::kDraining);
    world_->Kill("e1");
    Run(std::chrono::seconds{5});
    AssertAnswered(*Resend("e2", used));
    AssertRan(*Resend("e3", unused));
    AssertAnswered(*Resend("e0", unused));
    const std::string forged = unused.substr(0, unused.size() - 1) + "?";
    AssertRefused(*Resend("e0", forged), error_kind::kInvalidRequest);
  }

  // A draining home hands its keys to a host whose replies are lost, and then
  // to another one, which it names. The first has the keys all the same. It
  // must not decide about them, nor pass its old copy on when it drains.
  void SuccessorThatWasNotNamed() {
    const std::string key = caller_->Mint("e1", "shop");
    const std::string named = DrainPastASilentHost("e1");
    AssertRan(*Resend(named, key));
    for (const auto& host : world_->HostNames()) {
      if (!world_->IsDrained(host)) {
        AssertAnswered(*Resend(host, key));
      }
    }
    Drain(silent_);
    Drain(named);
    for (const auto& host : world_->HostNames()) {
      if (!world_->IsDrained(host)) {
        AssertAnswered(*Resend(host, key));
      }
    }
  }

  // The caller sends the same key twice to one host. The second sending waits
  // and gets the first one's answer. With another body it is refused, and in
  // another workspace it is another key.
  void SecondRequestWaitsForTheFirst() {
    const run_plan slow{milliseconds{0}, false, milliseconds{700}};
    const auto first = Send("e0", "own", slow);
    const auto second = Send("e0", "own", kQuick);
    const auto reused =
        caller_->Send("e0", "shop", "own", kBody + 1, kDeadline, kQuick);
    const auto foreign =
        caller_->Send("e0", "legal", "own", kBody, kDeadline, kQuick);
    Run(kDeadline);
    AssertRan(*first);
    AssertAnswered(*second);
    AssertRefused(*reused, error_kind::kKeyReused);
    AssertRan(*foreign);
  }

  // The first sending runs longer than the second can wait. The second is
  // told so at its own deadline, not at that of the first.
  void SecondRequestRunsOutOfTime() {
    Send("e0", "own", {milliseconds{0}, false, milliseconds{1500}});
    const auto here = Send("e0", "own", kQuick, milliseconds{500});
    const auto elsewhere = Send("e1", "own", kQuick, milliseconds{500});
    Run(milliseconds{500});
    AssertRefused(*here, error_kind::kRequestInProgress);
    AssertRefused(*elsewhere, error_kind::kRequestInProgress);
    Run(kDeadline);
  }

  // The answer is larger than what is kept. Whoever asks later cannot get it,
  // but must not run the request again either.
  void AnswerTooLargeToKeep() {
    for (const std::string& key :
         {caller_->Mint("e1", "shop"), std::string("own")}) {
      const auto sent = Send("e0", key, kNeverEnds);
      Run(milliseconds{1000});
      CPPUNIT_ASSERT(sent->dispatched);
      world_->OnHost("e0", [&] {
        world_->Guard("e0").finish(sent->request,
                                   {200, "text/plain", std::string(101, 'x')});
      });
      Run(std::chrono::seconds{5});
      AssertRefused(*Resend("e2", key), error_kind::kOutcomeUnknown);
    }
  }

  // A home has as many used keys as it may remember. A new one is refused as
  // not run, and it is not; the old ones are still answered.
  void HomeIsFull() {
    const std::string first = caller_->Mint("e1", "shop");
    AssertRan(*Resend("e0", first));
    for (int more = 0; more < 3; ++more) {
      AssertRan(*Resend("e0", caller_->Mint("e1", "shop")));
    }
    AssertRefused(*Resend("e0", caller_->Mint("e1", "shop")),
                  error_kind::kClaimUnavailable);
    AssertAnswered(*Resend("e2", first));
  }

  void LookupTellsWithoutClaiming() {
    for (const std::string& key :
         {caller_->Mint("e1", "shop"), std::string("own")}) {
      CPPUNIT_ASSERT(Lookup("e2", key).state == key_state::kNone);
      const auto sent =
          Send("e0", key, {milliseconds{0}, false, milliseconds{3000}});
      Run(milliseconds{1000});
      CPPUNIT_ASSERT(Lookup("e2", key).state == key_state::kRunning);
      Run(std::chrono::seconds{5});
      const key_lookup ended = Lookup("e2", key);
      CPPUNIT_ASSERT(ended.state == key_state::kEnded);
      CPPUNIT_ASSERT_EQUAL(*caller_->Outcome("shop", key), ended.outcome.body);
    }
    world_->SetLogDown(true);
    CPPUNIT_ASSERT(Lookup("e2", "own-2").state == key_state::kUnknown);
  }

  // The front still holds the hooks when the service has gone. It is refused,
  // once, and nothing may be dispatched.
  void HooksOutliveTheService() {
    outcome_guard guard = world_->Guard("e0");
    world_->Kill("e0");
    int refusals = 0;
    keyed_request request;
    request.key = "own";
    guard.begin(request, [&](const claim_decision& decision) {
      CPPUNIT_ASSERT(decision.verdict == claim_verdict::kRefused);
      ++refusals;
    });
    CPPUNIT_ASSERT_EQUAL(1, refusals);
    CPPUNIT_ASSERT(!guard.may_dispatch(request));
  }

 private:
  void Run(milliseconds length) {
    world_->Time().RunUntil(world_->Time().Now() + length);
  }

  std::shared_ptr<sending> Send(const std::string& host, const std::string& key,
                                run_plan plan,
                                milliseconds deadline = kDeadline) {
    return caller_->Send(host, "shop", key, kBody, deadline, plan);
  }

  std::shared_ptr<sending> Resend(const std::string& host,
                                  const std::string& key) {
    auto sent = Send(host, key, kQuick);
    Run(kDeadline);
    return sent;
  }

  std::string BusiestWriter() const {
    std::string busiest = "e0";
    for (const auto& host : world_->HostNames()) {
      if (world_->Counters(host).log_appends >
          world_->Counters(busiest).log_appends) {
        busiest = host;
      }
    }
    return busiest;
  }

  void Drain(const std::string& host) {
    world_->Drain(host, [] {});
    Run(std::chrono::seconds{30});
    CPPUNIT_ASSERT(world_->IsDrained(host));
  }

  std::string DrainPastASilentHost(const std::string& home) {
    world_->Drain(home, [] {});
    silent_ = world_->FirstHandoverTarget();
    world_->LoseHandoverReplies(silent_);
    Run(std::chrono::seconds{30});
    world_->LoseHandoverReplies("");
    std::string named = world_->SuccessorOf(home);
    CPPUNIT_ASSERT(!named.empty() && named != silent_);
    return named;
  }

  key_lookup Lookup(const std::string& host, const std::string& key) {
    key_lookup told;
    bool is_told = false;
    world_->OnHost(host, [&] {
      world_->Guard(host).lookup("shop", key, world_->Time().Now() + kDeadline,
                                 [&](key_lookup answer) {
                                   told = std::move(answer);
                                   is_told = true;
                                 });
    });
    Run(kDeadline + milliseconds{100});
    CPPUNIT_ASSERT(is_told);
    return told;
  }

  static void AssertRan(const sending& sent) {
    CPPUNIT_ASSERT(sent.decision.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(), sent.decision->detail);
    CPPUNIT_ASSERT(sent.finished);
  }

  void AssertAnswered(const sending& sent) const {
    CPPUNIT_ASSERT(sent.decision.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(), sent.decision->detail);
    CPPUNIT_ASSERT(sent.decision->verdict == claim_verdict::kAnswered);
  }

  static void AssertRefused(const sending& sent, error_kind kind) {
    CPPUNIT_ASSERT(sent.decision.has_value());
    CPPUNIT_ASSERT(sent.decision->verdict == claim_verdict::kRefused);
    CPPUNIT_ASSERT_EQUAL(AnswerFor(kind).name,
                         AnswerFor(sent.decision->refusal).name);
    CPPUNIT_ASSERT(!sent.dispatched);
  }

  std::unique_ptr<test_world> world_;
  std::unique_ptr<test_caller> caller_;
  std::string silent_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_failure_test);

}  // namespace
}  // namespace slatestall
