#include "slatestall/gateway/shared_reading.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/post.hpp>

#include "slatestall/gateway/topic_follower.h"

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};

keyed_read Read(std::vector<keyed_record> records, std::uint64_t next) {
  keyed_read read;
  read.outcome = store_outcome::kDone;
  read.records = std::move(records);
  read.next = next;
  return read;
}

class shared_reading_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shared_reading_test);
  CPPUNIT_TEST(ATailTellsOnlyWhatItHoldsWithoutAGap);
  CPPUNIT_TEST(AReadersFreshWordSavesTheStore);
  CPPUNIT_TEST(AReadersOldWordDoesNotCount);
  CPPUNIT_TEST(AFollowerReadsAllAnewWhereRecordsAreGone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = kStart;
    direct_reads_ = 0;
  }

 private:
  now_function Now() {
    return [this] { return now_; };
  }

  keyed_topic Direct() {
    keyed_topic topic;
    topic.read_newest = [](const std::function<void(keyed_read)>& done) {
      done(Read({{"k", "all"}}, 5));
    };
    topic.read_from = [this](std::uint64_t from, milliseconds,
                             const std::function<void(keyed_read)>& done) {
      ++direct_reads_;
      done(Read({{"k", "direct"}}, from + 1));
    };
    return topic;
  }

  keyed_read ReadThrough(milliseconds age) {
    asio::io_context context;
    shared_reading reading(
        context,
        [age](const std::string&, std::uint64_t,
              const std::function<void(std::optional<tail_read>)>& done) {
          tail_read told;
          told.records = {{"k", "told"}};
          told.next = 9;
          told.age = age;
          done(told);
        },
        Now());
    const auto topic = reading.Share("t", Direct(), milliseconds(1000));
    keyed_read got;
    topic.read_from(8, milliseconds(0),
                    [&got](keyed_read read) { got = std::move(read); });
    context.run();
    return got;
  }

  void ATailTellsOnlyWhatItHoldsWithoutAGap() {
    topic_tail tail(Now());
    CPPUNIT_ASSERT(!tail.ReadFrom(0));
    tail.Note(5, Read({{"a", "1"}, {"b", "2"}}, 7));
    tail.Note(7, Read({{"c", std::nullopt}}, 8));
    CPPUNIT_ASSERT(!tail.ReadFrom(4));
    CPPUNIT_ASSERT(!tail.ReadFrom(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tail.ReadFrom(5)->records.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tail.ReadFrom(8)->records.size());
    tail.Note(20, Read({{"d", "4"}}, 21));
    CPPUNIT_ASSERT(!tail.ReadFrom(8));
    now_ += std::chrono::seconds(2);
    CPPUNIT_ASSERT(tail.ReadFrom(20)->age == milliseconds(2000));
  }

  void AReadersFreshWordSavesTheStore() {
    const auto got = ReadThrough(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("told"), *got.records.front().value);
    CPPUNIT_ASSERT_EQUAL(0, direct_reads_);
  }

  // The reader is cut off from the store and does not know it yet. It goes on
  // answering with what it has; an endpoint that left meanwhile would get work
  // from all hosts that believe it.
  void AReadersOldWordDoesNotCount() {
    const auto got = ReadThrough(milliseconds(1001));
    CPPUNIT_ASSERT_EQUAL(std::string("direct"), *got.records.front().value);
    CPPUNIT_ASSERT_EQUAL(1, direct_reads_);
  }

  // The store forgets its history while a host is paused. Deletions in between
  // are told by no record, only by what is missing from the whole.
  void AFollowerReadsAllAnewWhereRecordsAreGone() {
    asio::io_context context;
    int all = 0;
    int changes = 0;
    keyed_topic topic;
    topic.read_newest = [](const std::function<void(keyed_read)>& done) {
      done(Read({}, 5));
    };
    int reads = 0;
    topic.read_from = [&](std::uint64_t from, milliseconds,
                          const std::function<void(keyed_read)>& done) {
      ++reads;
      if (reads == 2) {
        keyed_read gone;
        gone.outcome = store_outcome::kTooOld;
        done(gone);
      } else if (reads < 4) {
        done(Read({{"k", "v"}}, from + 1));
      }
    };
    topic_follower follower(
        context, topic, {milliseconds(0), milliseconds(1)},
        {[&](const auto&) { ++all; }, [&](const auto&) { ++changes; },
         [](bool, const std::string&) {}});
    follower.Start();
    context.run();
    CPPUNIT_ASSERT_EQUAL(2, all);
    CPPUNIT_ASSERT_EQUAL(2, changes);
  }

  time_point now_;
  int direct_reads_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_reading_test);

}  // namespace
}  // namespace slatestall
