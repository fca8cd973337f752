#include "slatestall/node/config_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <memory>
#include <optional>

#include "slatestall/node/config_record_codec.h"
#include "slatestall/node/fake_platform_log.h"

namespace slatestall {
namespace {

using std::chrono::seconds;

class config_follower_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_follower_test);
  CPPUNIT_TEST(AnEmptyLogIsJudgedWithoutALongPoll);
  CPPUNIT_TEST(ALostAnswerIsSettledByReadingBack);
  CPPUNIT_TEST(ALostRecordIsRefusedOnceAnotherCameFirst);
  CPPUNIT_TEST(ARecordThatMayStillComeIsUnknown);
  CPPUNIT_TEST(ARefusedAppendIsTriedAgainAndStoredOnce);
  CPPUNIT_TEST(ALogThatTakesNothingIsToldAsNotPublished);
  CPPUNIT_TEST(OfTwoOperatorsOneWinsAndTheOtherIsTold);
  CPPUNIT_TEST(TheHeadIsRepublishedWhenItsAnchorExpired);
  CPPUNIT_TEST(AnOutageKeepsWhatIsInForce);
  CPPUNIT_TEST(AnOutageRightAfterTheAppendEndsInForce);
  CPPUNIT_TEST(AHostThatStartsInAnOutageObeysItsPeers);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context context_;
  std::unique_ptr<fake_platform_log> log_;
  std::vector<std::unique_ptr<config_follower>> followers_;

  config_follower& Start(milliseconds publish_timeout) {
    config_follower_options options;
    options.host = "entry-" + std::to_string(followers_.size());
    options.publish_timeout = publish_timeout;
    config_follower_hooks hooks;
    hooks.on_change = [] {};
    hooks.live_hosts = [host = options.host] {
      return std::vector<std::string>{host};
    };
    hooks.wall_clock = [] { return 0; };
    followers_.push_back(std::make_unique<config_follower>(
        context_, options, [](const std::string&) { return configuration{}; },
        log_->Service(), [] { return std::chrono::steady_clock::now(); },
        hooks));
    auto& follower = *followers_.back();
    follower.Start();
    return follower;
  }

  config_follower& Follow(milliseconds publish_timeout) {
    auto& follower = Start(publish_timeout);
    RunUntil([&] { return follower.History().Head().has_value(); });
    return follower;
  }

  void RunUntil(const std::function<bool()>& done) {
    const auto give_up = std::chrono::steady_clock::now() + seconds{20};
    while (!done()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < give_up);
      context_.restart();
      context_.run_one_for(milliseconds{20});
    }
  }

  publish_result Publish(config_follower& follower, config_revision base,
                         const std::string& source) {
    std::optional<publish_result> end;
    follower.Publish(base, source,
                     [&end](const publish_result& r) { end = r; });
    RunUntil([&end] { return end.has_value(); });
    return *end;
  }

 public:
  void setUp() override {
    log_ = std::make_unique<fake_platform_log>(context_);
  }
  void tearDown() override { followers_.clear(); }

  // An operator who publishes to a new site right after its hosts started was
  // told "the log cannot be judged now" for ten seconds: the first read of the
  // empty stream was a long poll, and until it ends no head is known. The
  // first read must therefore return at once; later ones may wait.
  void AnEmptyLogIsJudgedWithoutALongPoll() {
    Follow(seconds{10});
    CPPUNIT_ASSERT(log_->Waits().front() == milliseconds{0});
    RunUntil([this] { return log_->Waits().size() > 1; });
    CPPUNIT_ASSERT(log_->Waits().back() > milliseconds{0});
  }

  // The log stores the record and its answer is lost. The operator must not
  // be told to publish again: the record is found by its publication id.
  void ALostAnswerIsSettledByReadingBack() {
    auto& follower = Follow(seconds{10});
    log_->Script({fake_append::kStoreAndLoseAnswer});
    const auto result = Publish(follower, 0, "a");
    CPPUNIT_ASSERT(result.end == publish_end::kAccepted);
    CPPUNIT_ASSERT_EQUAL(config_revision{1}, result.revision);
  }

  // The record and the answer are lost, and another operator publishes from
  // the same revision. Whatever still arrives of the first can only be
  // refused, so its operator gets a definite answer with the winner.
  void ALostRecordIsRefusedOnceAnotherCameFirst() {
    auto& first = Follow(seconds{10});
    auto& second = Follow(seconds{10});
    log_->Script({fake_append::kLose});
    std::optional<publish_result> lost;
    first.Publish(0, "a", [&lost](const publish_result& r) { lost = r; });
    const auto won = Publish(second, 0, "b");
    RunUntil([&lost] { return lost.has_value(); });
    CPPUNIT_ASSERT(won.end == publish_end::kAccepted);
    CPPUNIT_ASSERT(lost->end == publish_end::kRefused);
    CPPUNIT_ASSERT_EQUAL(won.revision, lost->revision);
  }

  // The answer is lost and the record is not seen in time. It may be on its
  // way, so neither "accepted" nor "refused" would be true.
  void ARecordThatMayStillComeIsUnknown() {
    auto& follower = Follow(milliseconds{50});
    log_->Script({fake_append::kLose});
    CPPUNIT_ASSERT(Publish(follower, 0, "a").end == publish_end::kUnknown);
  }

  // The log is at its rate limit. A refused append is proof that the record
  // is not in the log, so trying again cannot store it twice.
  void ARefusedAppendIsTriedAgainAndStoredOnce() {
    auto& follower = Follow(seconds{10});
    log_->Script({fake_append::kRefuse, fake_append::kRefuse});
    CPPUNIT_ASSERT(Publish(follower, 0, "a").end == publish_end::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_->Records().size());
  }

  void ALogThatTakesNothingIsToldAsNotPublished() {
    auto& follower = Follow(milliseconds{400});
    log_->Script(std::deque<fake_append>(50, fake_append::kRefuse));
    CPPUNIT_ASSERT(Publish(follower, 0, "a").end == publish_end::kNotPublished);
    CPPUNIT_ASSERT(log_->Records().empty());
  }

  // Two operators publish from revision 0 through two hosts at the same time.
  // Both hosts send; the log's order decides and both hosts obey the winner.
  void OfTwoOperatorsOneWinsAndTheOtherIsTold() {
    auto& first = Follow(seconds{10});
    auto& second = Follow(seconds{10});
    std::optional<publish_result> a;
    std::optional<publish_result> b;
    first.Publish(0, "a", [&a](const publish_result& r) { a = r; });
    second.Publish(0, "b", [&b](const publish_result& r) { b = r; });
    RunUntil([&] { return a.has_value() && b.has_value(); });
    CPPUNIT_ASSERT(a->end == publish_end::kAccepted);
    CPPUNIT_ASSERT(b->end == publish_end::kRefused);
    CPPUNIT_ASSERT_EQUAL(a->revision, b->revision);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), second.History().Obeyed()->source);
  }

  // The log drops the publication in force. A host that starts afterwards
  // would find nothing, so a running one writes it again, and the late one
  // obeys the same revision.
  void TheHeadIsRepublishedWhenItsAnchorExpired() {
    auto& follower = Follow(seconds{10});
    Publish(follower, 0, "a");
    Publish(follower, 1, "b");
    log_->Expire(1);
    Publish(follower, 2, "c");
    RunUntil([this] { return log_->Records().size() > 3; });
    const auto record = DecodeConfigRecord({3, log_->Records().at(3)});
    CPPUNIT_ASSERT((record.republication == head_claim{3, 3}));
    log_->Expire(3);
    CPPUNIT_ASSERT_EQUAL(config_revision{3},
                         Follow(seconds{10}).History().ObeyedRevision());
  }

  // The log is down for long. What is in force stays in force, a publication
  // is answered, and afterwards the log is followed again.
  void AnOutageKeepsWhatIsInForce() {
    // Long enough that a loaded machine does not end the first publication.
    auto& follower = Follow(milliseconds{3000});
    Publish(follower, 0, "a");
    log_->SetDown(true);
    CPPUNIT_ASSERT(Publish(follower, 1, "b").end == publish_end::kUnknown);
    RunUntil([&] { return !follower.LogReachable(); });
    CPPUNIT_ASSERT_EQUAL(config_revision{1},
                         follower.History().ObeyedRevision());
    log_->SetDown(false);
    RunUntil([&] { return follower.LogReachable(); });
    CPPUNIT_ASSERT(Publish(follower, 1, "c").end == publish_end::kAccepted);
  }

  // The log takes the record, loses the answer and goes down before anybody
  // reads it back. The operator is told "unknown", which is true, and the hosts
  // keep the former revision; once the log is back all of them have the new
  // one, and publishing the same again is refused, not done twice.
  void AnOutageRightAfterTheAppendEndsInForce() {
    auto& first = Follow(milliseconds{3000});
    auto& second = Follow(milliseconds{3000});
    Publish(first, 0, "a");
    RunUntil([&] { return second.History().ObeyedRevision() == 1; });
    log_->Script({fake_append::kStoreAndGoDown});
    std::optional<publish_result> told;
    first.Publish(1, "b", [&told](const publish_result& r) { told = r; });
    RunUntil([&told] { return told.has_value(); });
    CPPUNIT_ASSERT(told->end == publish_end::kUnknown);
    CPPUNIT_ASSERT_EQUAL(config_revision{1}, second.History().ObeyedRevision());
    log_->SetDown(false);
    RunUntil([&] {
      return first.History().ObeyedRevision() == 2 &&
             second.History().ObeyedRevision() == 2;
    });
    CPPUNIT_ASSERT(Publish(second, 1, "b").end == publish_end::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), first.History().Obeyed()->source);
  }

  // A host is started while the log is down. Alone it obeys nothing, and an
  // operator is not told that a file is in force; a peer's head puts it in
  // force at once; once the log is back it is at the same revision and goes on.
  void AHostThatStartsInAnOutageObeysItsPeers() {
    auto& running = Follow(milliseconds{300});
    CPPUNIT_ASSERT(Publish(running, 0, "a").end == publish_end::kAccepted);
    log_->SetDown(true);
    auto& late = Start(milliseconds{300});
    CPPUNIT_ASSERT(Publish(late, 0, "b").end != publish_end::kAccepted);
    CPPUNIT_ASSERT(!late.LogReachable());
    CPPUNIT_ASSERT_EQUAL(config_revision{0}, late.History().ObeyedRevision());
    const auto head = running.History().Head();
    late.TakePeerHead(head.value(), running.History().Obeyed()->source);
    CPPUNIT_ASSERT_EQUAL(config_revision{1}, late.History().ObeyedRevision());
    log_->SetDown(false);
    RunUntil([&] { return late.LogReachable(); });
    CPPUNIT_ASSERT_EQUAL(config_revision{1}, late.History().ObeyedRevision());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), late.History().Obeyed()->source);
    CPPUNIT_ASSERT(Publish(running, 1, "c").end == publish_end::kAccepted);
    RunUntil([&] { return late.History().ObeyedRevision() == 2; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_follower_test);

}  // namespace
}  // namespace slatestall
