#include "slatestall/gateway/crash_feed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/gateway/fake_topic.h"
#include "slatestall/relay/boot_time.h"

namespace slatestall {
namespace {

constexpr request_digest kContent = 0xc0;
const std::string kContentKey = "content/00000000000000c0";
const keyed_record kByOther{kContentKey,
                            R"({"verdict":"quarantined","by":"h2"})"};

/// A topic that a test answers by hand, and a clock that it sets.
class crash_feed_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_feed_test);
  CPPUNIT_TEST(AReportIsWrittenUntilTheStoreHasTakenIt);
  CPPUNIT_TEST(OneWriteIsUnderWayAtATime);
  CPPUNIT_TEST(WhatOneHostWritesAnotherReads);
  CPPUNIT_TEST(WhatWasWrittenBeforeTheStartIsHistory);
  CPPUNIT_TEST(AVerdictFollowsTheReportsItIsAbout);
  CPPUNIT_TEST(AVerdictOfAnEarlierLifeIsNotThisOnes);
  CPPUNIT_TEST(ADeletedVerdictIsWithdrawn);
  CPPUNIT_TEST(RecordsThatCannotBeReadChangeNothing);
  CPPUNIT_TEST(AVerdictThatIsNotKnownIsTakenForNone);
  CPPUNIT_TEST(WhatAHostWroteIsWrittenToAStoreThatLostIt);
  CPPUNIT_TEST(AVerdictWhoseWriterIsGoneIsWrittenByAnother);
  CPPUNIT_TEST(AVerdictThatItsWriterWroteAgainIsNotWrittenByAnother);
  CPPUNIT_TEST(AnOlderVerdictOfACopyIsNotTaken);
  CPPUNIT_TEST(ADeletionThatACopyLacksIsWrittenAgain);
  CPPUNIT_TEST(AVerdictThatIsReadOnceMoreKeepsItsTeller);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    platform_link link;
    link.crashes = topic_.Topic();
    link.write_crash = [this](const auto& key, const auto& value, auto done) {
      writes_.push_back({key, value});
      written_ = std::move(done);
    };
    options_.host_name = "h1";
    crash_news news;
    news.on_crash = [this](const endpoint_crash& crash, crash_source source) {
      crashes_.emplace_back(crash, source);
      taken_.emplace_back("crash");
    };
    news.on_verdict = [this](request_digest content, auto verdict,
                             verdict_teller teller) {
      verdicts_.emplace_back(content, verdict);
      taken_.emplace_back("verdict");
      tellers_.push_back(teller);
    };
    feed_.emplace(context_, options_, link, log_, BootTimeNow, news);
    feed_->Start();
  }

  void tearDown() override { feed_.reset(); }

 private:
  void RunUntil(const std::function<bool()>& holds) {
    const auto end = BootTimeNow() + std::chrono::seconds(10);
    while (!holds() && BootTimeNow() < end) {
      context_.run_one_for(milliseconds(1));
      context_.restart();
    }
    CPPUNIT_ASSERT(holds());
  }

  void Read(std::vector<keyed_record> records) {
    fake_topic::Answer(topic_.newest, {});
    ReadNext(std::move(records));
  }

  void ReadNext(std::vector<keyed_record> records) {
    RunUntil([this] { return topic_.next != nullptr; });
    fake_topic::Answer(topic_.next, std::move(records), era_);
  }

  /// The store comes back from an older copy.
  void Restore(std::vector<keyed_record> records) {
    ++era_;
    ReadNext({});
    RunUntil([this] { return topic_.newest != nullptr; });
    fake_topic::Answer(topic_.newest, std::move(records), era_);
  }

  /// All the time that a host leaves to another to write what was lost.
  void WaitForOthers() {
    context_.restart();
    context_.run_for(milliseconds(3600));
  }

  void AReportIsWrittenUntilTheStoreHasTakenIt() {
    feed_->Report({"i-1", "s", {kContent}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, writes_.size());
    std::exchange(written_, nullptr)(store_outcome::kNoAnswer);
    RunUntil([this] { return writes_.size() == 2; });
    CPPUNIT_ASSERT(writes_[0] == writes_[1]);
    std::exchange(written_, nullptr)(store_outcome::kDone);
    feed_->Tell({kContent, content_verdict::kQuarantined});
    RunUntil([this] { return writes_.size() == 3; });
    CPPUNIT_ASSERT_EQUAL(kContentKey, writes_[2].first);
  }

  void OneWriteIsUnderWayAtATime() {
    feed_->Report({"i-1", "s", {kContent}});
    feed_->Report({"i-2", "s", {kContent}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, writes_.size());
    std::exchange(written_, nullptr)(store_outcome::kDone);
    RunUntil([this] { return writes_.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::string("crash/i-2/h1"), writes_[1].first);
  }

  void WhatOneHostWritesAnotherReads() {
    feed_->Report({"i-1", "s", {kContent, 7}});
    std::exchange(written_, nullptr)(store_outcome::kDone);
    feed_->Tell({kContent, content_verdict::kCleared});
    RunUntil([this] { return writes_.size() == 2; });
    Read({{writes_[0].first, writes_[0].second},
          {writes_[1].first, writes_[1].second}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes_.size());
    const auto& [crash, source] = crashes_[0];
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), crash.endpoint);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), crash.service);
    CPPUNIT_ASSERT((crash.running == std::vector<request_digest>{kContent, 7}));
    CPPUNIT_ASSERT(source == crash_source::kOtherHost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts_.size());
    CPPUNIT_ASSERT(verdicts_[0].first == kContent &&
                   verdicts_[0].second == content_verdict::kCleared);
    CPPUNIT_ASSERT(tellers_[0] == verdict_teller::kThisHost);
  }

  void WhatWasWrittenBeforeTheStartIsHistory() {
    fake_topic::Answer(topic_.newest,
                       {{"crash/i-1/h2", R"({"service":"s","running":[]})"}});
    CPPUNIT_ASSERT(crashes_.size() == 1 &&
                   crashes_[0].second == crash_source::kHistory);
  }

  // Read in the order of their keys, a host that started took cleared contents
  // for those that crash endpoints.
  void AVerdictFollowsTheReportsItIsAbout() {
    fake_topic::Answer(topic_.newest,
                       {{kContentKey, R"({"verdict":"cleared","by":"h2"})"},
                        {"crash/i-1/h2", R"({"service":"s","running":[]})"}});
    CPPUNIT_ASSERT((taken_ == std::vector<std::string>{"crash", "verdict"}));
  }

  // A host that restarts in series would begin its trials anew each time.
  void AVerdictOfAnEarlierLifeIsNotThisOnes() {
    fake_topic::Answer(
        topic_.newest,
        {{kContentKey, R"({"verdict":"quarantined","by":"h1"})"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tellers_.size());
    CPPUNIT_ASSERT(verdicts_[0].second == content_verdict::kQuarantined);
    CPPUNIT_ASSERT(tellers_[0] == verdict_teller::kOtherHost);
  }

  void ADeletedVerdictIsWithdrawn() {
    Read({{kContentKey, std::nullopt}});
    CPPUNIT_ASSERT(verdicts_.size() == 1 && !verdicts_[0].second);
  }

  void RecordsThatCannotBeReadChangeNothing() {
    Read({{"crash/i-1/h2", "no json"},
          {"crash/i-1", R"({"service":"s","running":[]})"},
          {"crash/i-1/h2", R"({"service":"s"})"},
          {"crash/i-1/h2", R"([1])"},
          {"content/xyz", R"({"verdict":"quarantined"})"},
          {"other", "{}"}});
    CPPUNIT_ASSERT(crashes_.empty() && verdicts_.empty());
  }

  void AVerdictThatIsNotKnownIsTakenForNone() {
    Read({{kContentKey, R"({"verdict":7,"by":"h2"})"},
          {kContentKey, "no json"}});
    CPPUNIT_ASSERT(tellers_[0] == verdict_teller::kOtherHost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, verdicts_.size());
    CPPUNIT_ASSERT(!verdicts_[0].second && !verdicts_[1].second);
  }

  // A host that started after the copy was in place sent a request that had
  // crashed three endpoints to three more.
  void WhatAHostWroteIsWrittenToAStoreThatLostIt() {
    feed_->Report({"i-1", "s", {kContent}});
    std::exchange(written_, nullptr)(store_outcome::kDone);
    feed_->Tell({kContent, content_verdict::kQuarantined});
    RunUntil([this] { return writes_.size() == 2; });
    std::exchange(written_, nullptr)(store_outcome::kDone);
    const auto before = writes_;
    fake_topic::Answer(topic_.newest, {});
    Restore({});
    RunUntil([this] { return writes_.size() == 3; });
    std::exchange(written_, nullptr)(store_outcome::kDone);
    RunUntil([this] { return writes_.size() == 4; });
    CPPUNIT_ASSERT(
        std::is_permutation(before.begin(), before.end(), writes_.begin() + 2));
  }

  void AVerdictWhoseWriterIsGoneIsWrittenByAnother() {
    Read({{"crash/i-1/h2", R"({"service":"s","running":[]})"}, kByOther});
    Restore({});
    CPPUNIT_ASSERT(writes_.empty());
    RunUntil([this] { return writes_.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(kContentKey, writes_[0].first);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"by":"h1","verdict":"quarantined"})"),
                         writes_[0].second);
  }

  void AVerdictThatItsWriterWroteAgainIsNotWrittenByAnother() {
    Read({kByOther});
    Restore({});
    ReadNext({kByOther});
    WaitForOthers();
    CPPUNIT_ASSERT(writes_.empty());
  }

  // A content that was cleared was refused again for an hour.
  void AnOlderVerdictOfACopyIsNotTaken() {
    Read({kByOther, {kContentKey, R"({"verdict":"cleared","by":"h3"})"}});
    Restore({kByOther});
    CPPUNIT_ASSERT(verdicts_.back().second == content_verdict::kCleared);
    RunUntil([this] { return writes_.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"by":"h1","verdict":"cleared"})"),
                         writes_[0].second);
  }

  void ADeletionThatACopyLacksIsWrittenAgain() {
    Read({kByOther, {kContentKey, std::nullopt}});
    Restore({kByOther});
    CPPUNIT_ASSERT(!verdicts_.back().second);
    RunUntil([this] { return writes_.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string(), writes_[0].second);
  }

  // A mistaken quarantine had no trial once its writer had read all again.
  void AVerdictThatIsReadOnceMoreKeepsItsTeller() {
    const keyed_record own{kContentKey,
                           R"({"verdict":"quarantined","by":"h1"})"};
    Read({own});
    Restore({own});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tellers_.size());
    CPPUNIT_ASSERT(tellers_[0] == verdict_teller::kThisHost);
  }

  asio::io_context context_;
  gateway_options options_;
  std::uint64_t era_ = 1;
  decision_log log_{"test", 0, BootTimeNow};
  fake_topic topic_;
  std::function<void(store_outcome)> written_;
  std::vector<std::pair<std::string, std::string>> writes_;
  std::vector<std::pair<endpoint_crash, crash_source>> crashes_;
  std::vector<std::pair<request_digest, std::optional<content_verdict>>>
      verdicts_;
  std::vector<verdict_teller> tellers_;
  std::vector<std::string> taken_;  ///< In which order.
  std::optional<crash_feed> feed_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_feed_test);

}  // namespace
}  // namespace slatestall
