#include "slatestall/gateway/topic_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include "slatestall/model/ids.h"
#include "slatestall/peer/frame_codec.h"
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
  CPPUNIT_TEST(AStatusDoesNotWaitBehindALargeValue);
  CPPUNIT_TEST(AValueLargerThanAFrameArrives);
  CPPUNIT_TEST(AChangeOfALargeValueCostsItsSize);
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

  /// Like a configuration: many short entries, each with names of its own.
  static std::string LargeValue(std::size_t routes) {
    std::string value;
    for (std::size_t i = 0; i < routes; ++i) {
      const auto name = StableHashText("route", i);
      value.append(R"({"name":"r-)").append(name);
      value.append(R"(","host":")").append(name);
      value.append(R"(.example","path":"/)").append(name);
      value.append(R"(/","kind":"idempotent","timeout":4000,"rank":2},)");
    }
    return value;
  }

  static keyed_read ReadOfValue(std::string value, std::uint64_t offset) {
    keyed_read read;
    read.records = {{"routes", std::move(value), offset}};
    read.next = offset + 1;
    read.is_compacted = true;
    return read;
  }

  static topic_source SourceOf(const topic_tail& tail) {
    return [&tail](const topic_question& question) {
      return question.from ? tail.ReadFrom(*question.from, question.era)
                           : tail.ReadAll(question.after);
    };
  }

  std::string AskForValue(topic_exchange& asker, std::uint64_t from) {
    asker.Ask(
        "h2", {"configuration", from},
        [this](const topic_answer& answer) { answers_.push_back(answer); });
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return !answers_.empty(); }));
    const auto answer = answers_.back();
    answers_.clear();
    CPPUNIT_ASSERT(answer.told && answer.told->records.size() == 1);
    return *answer.told->records[0].value;
  }

  // Hosts took the host that they follow for lost while a configuration of it
  // was on its way, closed the connection and began anew elsewhere.
  void AStatusDoesNotWaitBehindALargeValue() {
    topic_tail tail(std::chrono::steady_clock::now);
    tail.NoteAll(ReadOfValue("", 4));
    tail.Note(5, ReadOfValue(LargeValue(4250), 5));
    topic_exchange near(context_, near_, SourceOf(tail), kRoom << 10U);
    topic_exchange asker(context_, peers_, Source(std::nullopt), kRoom);
    near_.Handle(wire::message::home_status_request,
                 [](const wire::messageUnion&, const std::string&,
                    const std::function<void(wire::messageUnion)>& reply) {
                   reply(MakeMessage(wire::home_status_replyT{}));
                 });
    asker.Ask("h2", {"configuration", 5}, [this](const topic_answer& answer) {
      answers_.push_back(answer);
    });
    bool has_status = false;
    bool had_value_before = false;
    peers_.Call("h2", MakeMessage(wire::home_status_requestT{}),
                milliseconds(5000), [&](const peer_reply& reply) {
                  CPPUNIT_ASSERT(reply.end == peer_call_end::kReplied);
                  has_status = true;
                  had_value_before = !answers_.empty();
                });
    CPPUNIT_ASSERT(
        RunUntil(context_, [&] { return has_status && !answers_.empty(); }));
    CPPUNIT_ASSERT(!had_value_before);
    CPPUNIT_ASSERT(answers_[0].told);
  }

  // A configuration that had outgrown a frame was never known to followers.
  void AValueLargerThanAFrameArrives() {
    topic_tail tail(std::chrono::steady_clock::now);
    tail.NoteAll(ReadOfValue("", 4));
    const auto value = LargeValue(12'000);
    CPPUNIT_ASSERT(value.size() > LocalOptions().max_frame_bytes);
    tail.Note(5, ReadOfValue(value, 5));
    topic_exchange near(context_, near_, SourceOf(tail), kRoom << 10U);
    topic_exchange asker(context_, peers_, Source(std::nullopt), kRoom);
    CPPUNIT_ASSERT(value == AskForValue(asker, 5));
  }

  // Each change of one route filled every weak link with all routes.
  void AChangeOfALargeValueCostsItsSize() {
    topic_tail tail(std::chrono::steady_clock::now);
    auto value = LargeValue(7000);
    tail.NoteAll(ReadOfValue(value, 4));
    topic_tail own(std::chrono::steady_clock::now);
    own.NoteAll(ReadOfValue(value, 4));
    value.replace(value.size() / 2, 5, "other");
    tail.Note(5, ReadOfValue(value, 5));
    topic_exchange near(context_, near_, SourceOf(tail), kRoom << 10U);
    topic_exchange asker(context_, peers_, SourceOf(own), kRoom);
    CPPUNIT_ASSERT(value == AskForValue(asker, 5));
    std::uint64_t bytes = 0;
    for (const auto& [kind, traffic] : near_.Sent()) {
      bytes += traffic.bytes;
    }
    CPPUNIT_ASSERT(bytes < value.size() / 50);
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
