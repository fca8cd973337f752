#include <cppunit/extensions/HelperMacros.h>

#include <utility>

#include "slatestall/gateway/shared_reading.h"

namespace slatestall {
namespace {

constexpr milliseconds kMaxAge{1000};
constexpr milliseconds kHold{500};

keyed_read Read(const std::string& value, std::uint64_t next) {
  keyed_read read;
  read.outcome = store_outcome::kDone;
  read.records = {{"k", value}};
  read.next = next;
  return read;
}

/// How recent what a host takes from others, or the store, has to be.
class shared_reading_age_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shared_reading_age_test);
  CPPUNIT_TEST(AnOldWholeIsNotTakenAgain);
  CPPUNIT_TEST(AWholeNeverTakesBackWhatIsKnown);
  CPPUNIT_TEST(AHostWithoutAnyKnowledgeTakesAnOldWhole);
  CPPUNIT_TEST(TheAgeOfAWholeIsThatOfItsFirstPage);
  CPPUNIT_TEST(AHeldReadWithoutAnAnswerIsNoLostStore);
  CPPUNIT_TEST(AReadInPlaceOfTheReadersIsNotHeld);
  CPPUNIT_TEST_SUITE_END();

 private:
  keyed_topic Store() {
    keyed_topic topic;
    topic.read_newest = [](const std::function<void(keyed_read)>& done) {
      done(Read("of the store", 15));
    };
    topic.read_from = [this](std::uint64_t from, milliseconds wait,
                             const std::function<void(keyed_read)>& done) {
      ++direct_reads_;
      done(wait > milliseconds(0) ? keyed_read{} : Read("of the store", from));
    };
    return topic;
  }

  static tail_read Whole(const std::string& value, std::uint64_t next,
                         milliseconds age) {
    tail_read told;
    told.records = {{"k", value}};
    told.next = next;
    told.age = age;
    return told;
  }

  std::string ReadWhole(asio::io_context& context, const keyed_topic& topic) {
    std::optional<keyed_read> got;
    topic.read_newest([&got](keyed_read read) { got = std::move(read); });
    const auto end = now_ + std::chrono::seconds(30);
    while (!got && now_ < end) {
      context.restart();
      context.run_one_for(milliseconds(200));
      now_ += milliseconds(100);
    }
    CPPUNIT_ASSERT(got);
    return *got->records.at(0).value;
  }

  /// Reads the whole as a host of a large fleet that knows `known`, while the
  /// host that it follows and others answer so.
  std::string ReadWholeAfter(const std::optional<tail_read>& known,
                             const std::optional<tail_read>& followed,
                             const std::optional<tail_read>& others) {
    asio::io_context context;
    auto answer = known;
    topic_asks asks;
    asks.reader = [&answer](const topic_question&,
                            const topic_asks::reader_hook& done) {
      done({.source = reading_source::kHost, .told = answer, .hosts = 985});
    };
    asks.any = [&others](const topic_question& question,
                         const topic_asks::done_hook& done) {
      CPPUNIT_ASSERT(!question.from);
      done(others);
    };
    shared_reading reading(context, asks, [this] { return now_; });
    const auto topic = reading.Share("t", Store(), kMaxAge, kHold);
    if (known) {
      ReadWhole(context, topic);
    }
    answer = followed;
    return ReadWhole(context, topic);
  }

  // Hosts served by a configuration from before the store's history was
  // dropped: they read the whole from a host that knew no more than they did,
  // again and again.
  void AnOldWholeIsNotTakenAgain() {
    const auto old = Whole("old", 9, milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(
        std::string("new"),
        ReadWholeAfter(old, old, Whole("new", 12, milliseconds(5))));
    // Where others are as old, the store is read in this host's turn.
    CPPUNIT_ASSERT_EQUAL(std::string("of the store"),
                         ReadWholeAfter(old, old, old));
  }

  // An endpoint that had left came back with the list of a host that was
  // behind.
  void AWholeNeverTakesBackWhatIsKnown() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("of the store"),
        ReadWholeAfter(Whole("known", 9, milliseconds(5)),
                       Whole("behind", 8, milliseconds(5)), std::nullopt));
  }

  // A host that starts while the store is away refuses all of its callers.
  void AHostWithoutAnyKnowledgeTakesAnOldWhole() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("old"),
        ReadWholeAfter(std::nullopt, Whole("old", 9, milliseconds(20'000)),
                       std::nullopt));
  }

  // A large list that took seconds to read was told on as if it was new.
  void TheAgeOfAWholeIsThatOfItsFirstPage() {
    asio::io_context context;
    topic_asks asks;
    asks.reader = [this](const topic_question& question,
                         const topic_asks::reader_hook& done) {
      now_ += milliseconds(700);
      auto page = Whole("v", 9, milliseconds(100));
      page.has_more = question.after.empty();
      done({.source = reading_source::kHost, .told = page, .hosts = 985});
    };
    shared_reading reading(context, asks, [this] { return now_; });
    ReadWhole(context, reading.Share("t", Store(), kMaxAge, kHold));
    CPPUNIT_ASSERT(reading.Answer({"t", std::nullopt})->age >=
                   milliseconds(800));
  }

  /// Reads on twice. The store answers held reads never, others at once.
  /// @returns whether the second succeeded.
  bool ReadTwiceFromAStoreSilentToHeldReads(reading_source source) {
    asio::io_context context;
    topic_asks asks;
    asks.reader = [source](const topic_question&,
                           const topic_asks::reader_hook& done) {
      done({.source = source, .told = std::nullopt});
    };
    asks.any = [](const topic_question&, const topic_asks::done_hook& done) {
      done(std::nullopt);
    };
    asks.on_store = [this](bool answered) { lost_ += answered ? 0 : 1; };
    shared_reading reading(context, asks, [this] { return now_; });
    const auto topic = reading.Share("t", Store(), kMaxAge, kHold);
    keyed_read got;
    for (int i = 0; i < 2; ++i) {
      topic.read_from(8, milliseconds(1000),
                      [&](const keyed_read& one) { got = one; });
      context.restart();
      context.run();
    }
    return got.outcome == store_outcome::kDone;
  }

  // One read that the store held and never answered kept a reader from the
  // store for five seconds, though it answered all others.
  void AHeldReadWithoutAnAnswerIsNoLostStore() {
    CPPUNIT_ASSERT(
        ReadTwiceFromAStoreSilentToHeldReads(reading_source::kStore));
    CPPUNIT_ASSERT_EQUAL(2, direct_reads_);
    CPPUNIT_ASSERT_EQUAL(0, lost_);
  }

  // Hosts that took the readers' place waited in the same silence.
  void AReadInPlaceOfTheReadersIsNotHeld() {
    CPPUNIT_ASSERT(ReadTwiceFromAStoreSilentToHeldReads(reading_source::kHost));
    CPPUNIT_ASSERT_EQUAL(2, direct_reads_);
  }

  time_point now_{std::chrono::hours(1)};
  int direct_reads_ = 0;
  int lost_ = 0;  ///< Reads that showed the store to be lost.
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_reading_age_test);

}  // namespace
}  // namespace slatestall
