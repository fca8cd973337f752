#include "slatestall/gateway/topic_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include "slatestall/peer/peer_test_support.h"

namespace slatestall {
namespace {

constexpr std::size_t kRoom = 1000;

tail_read Known(std::uint64_t next) {
  tail_read read;
  read.records = {{"a", "1", 7}, {"b", std::nullopt, 8}};
  read.next = next;
  read.age = milliseconds(70);
  return read;
}

class topic_exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(topic_exchange_test);
  CPPUNIT_TEST(AHostTellsWhatItKnows);
  CPPUNIT_TEST(AHostThatDoesNotKnowSaysSo);
  CPPUNIT_TEST(TheMostRecentAnswerCounts);
  CPPUNIT_TEST(HostsThatDoNotAnswerAreLeftOut);
  CPPUNIT_TEST(AQuestionIsHeldUntilThereIsSomethingToTell);
  CPPUNIT_TEST(AQuietTopicIsAnsweredAtTheEndOfTheWait);
  CPPUNIT_TEST(RepliesUnderWayAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    asked_.clear();
    answers_.clear();
    peers_.SetPeers({{"h2", AddressOf(near_.Port())},
                     {"h3", AddressOf(far_.Port())},
                     {"gone", "127.0.0.1:1"}});
  }

 private:
  topic_source Source(const std::optional<tail_read>& known) {
    return [this, known](const topic_question& question) {
      asked_.push_back(question);
      return known;
    };
  }

  std::optional<tail_read> Ask(const std::vector<std::string>& hosts,
                               const topic_question& question) {
    topic_exchange exchange(context_, peers_, Source(std::nullopt), kRoom);
    bool ended = false;
    std::optional<tail_read> got;
    exchange.AskAll(hosts, question, [&](std::optional<tail_read> told) {
      ended = true;
      got = std::move(told);
    });
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return ended; }));
    return got;
  }

  void AHostTellsWhatItKnows() {
    topic_exchange near(context_, near_, Source(Known(9)), kRoom);
    const auto got = Ask({"h2"}, {"endpoints", 4});
    CPPUNIT_ASSERT(got);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, got->next);
    CPPUNIT_ASSERT(got->age == milliseconds(70));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *got->records[0].value);
    CPPUNIT_ASSERT(!got->records[1].value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, *asked_.at(0).from);
    Ask({"h2"}, {"endpoints", std::nullopt});
    CPPUNIT_ASSERT(!asked_.at(1).from);
  }

  void AHostThatDoesNotKnowSaysSo() {
    topic_exchange near(context_, near_, Source(std::nullopt), kRoom);
    CPPUNIT_ASSERT(!Ask({"h2"}, {"endpoints", 4}));
    CPPUNIT_ASSERT(!Ask({}, {"endpoints", 4}));
  }

  // Of the hosts that a starting one can ask, one has been cut off for a
  // while. Taken first, its older configuration would be in force again.
  void TheMostRecentAnswerCounts() {
    topic_exchange near(context_, near_, Source(Known(9)), kRoom);
    topic_exchange far(context_, far_, Source(Known(12)), kRoom);
    const auto got = Ask({"h2", "h3"}, {"configuration", std::nullopt});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, got->next);
  }

  // Seeds may be stale: nobody listens at some of their addresses.
  void HostsThatDoNotAnswerAreLeftOut() {
    topic_exchange near(context_, near_, Source(Known(9)), kRoom);
    const auto got = Ask({"gone", "h2", "unlisted"}, {"hosts", std::nullopt});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, got->next);
  }

  /// What a host answers, held for as long as `wait`.
  void AskHeld(topic_exchange& asker, milliseconds wait) {
    asker.Ask(
        "h2", {"endpoints", 4, 0, {}, wait},
        [this](const topic_answer& answer) { answers_.push_back(answer); });
  }

  // Changes passed each host on their way half a second late.
  void AQuestionIsHeldUntilThereIsSomethingToTell() {
    std::optional<tail_read> known;
    topic_exchange near(
        context_, near_, [&](const topic_question&) { return known; }, kRoom);
    topic_exchange asker(context_, peers_, Source(std::nullopt), kRoom);
    AskHeld(asker, milliseconds(8000));
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return near.Held() == 1; }));
    known = Known(9);
    near.Release("hosts");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, near.Held());
    near.Release("endpoints");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, near.Held());
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return !answers_.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, answers_[0].told->next);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, answers_[0].told->records[0].offset);
  }

  // A host that hears nothing takes the one that it follows for lost.
  void AQuietTopicIsAnsweredAtTheEndOfTheWait() {
    auto quiet = Known(4);
    quiet.records.clear();
    topic_exchange near(context_, near_, Source(quiet), kRoom);
    topic_exchange asker(context_, peers_, Source(std::nullopt), kRoom);
    AskHeld(asker, milliseconds(30));
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return !answers_.empty(); }));
    CPPUNIT_ASSERT(answers_[0].told->records.empty());
  }

  // A host that a thousand others asked for everything died of the copies that
  // it held for them.
  void RepliesUnderWayAreBounded() {
    auto large = Known(9);
    large.records = {{"a", std::string(kRoom, 'x'), 7}};
    topic_exchange near(context_, near_, Source(large), 0);
    topic_exchange asker(context_, peers_, Source(std::nullopt), kRoom);
    constexpr std::size_t kQuestions = 8;
    for (std::size_t i = 0; i < kQuestions; ++i) {
      AskHeld(asker, milliseconds(200));
    }
    CPPUNIT_ASSERT(
        RunUntil(context_, [&] { return answers_.size() == kQuestions; }));
    CPPUNIT_ASSERT(near.Held() == 0);
    for (const auto& answer : answers_) {
      CPPUNIT_ASSERT(answer.told || answer.is_busy);
    }
  }

  asio::io_context context_;
  std::vector<topic_answer> answers_;
  peer_node peers_{context_, {"h1", 1}, LocalOptions()};
  peer_node near_{context_, {"h2", 2}, LocalOptions()};
  peer_node far_{context_, {"h3", 3}, LocalOptions()};
  std::vector<topic_question> asked_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(topic_exchange_test);

}  // namespace
}  // namespace slatestall
