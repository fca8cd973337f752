#include "slatestall/gateway/shared_reading.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/post.hpp>
#include <set>

#include "slatestall/gateway/topic_follower.h"

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kHold{500};

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
  CPPUNIT_TEST(WhereAReaderHasLostTheStoreFewReadInItsPlace);
  CPPUNIT_TEST(AHostThatStartsWhileTheStoreIsAwayTakesWhatOthersKnow);
  CPPUNIT_TEST(AHostThatTheStoreTurnsAwayHearsOfChanges);
  CPPUNIT_TEST(WhatOthersKnowIsTakenOnlyWhereItIsNewer);
  CPPUNIT_TEST(TheWholeIsToldOnlyWhereNoChangeWasMissed);
  CPPUNIT_TEST(AFollowerReadsAllAnewWhereRecordsAreGone);
  CPPUNIT_TEST(AnOutageIsLeftToTheReaders);
  CPPUNIT_TEST(OffsetsOfAnotherEraAreNotTold);
  CPPUNIT_TEST(AFollowerReadsAllAnewInALaterEra);
  CPPUNIT_TEST(AnAnswerOfAnEarlierEraDoesNotCount);
  CPPUNIT_TEST(ALargeWholeIsToldInPages);
  CPPUNIT_TEST(OnlyTheNewestOfEachKeyIsToldOn);
  CPPUNIT_TEST(DeletionsAreForgottenOnlyWithTheirOffsets);
  CPPUNIT_TEST(AnOverlappingReadTakesNothingBack);
  CPPUNIT_TEST(WhatAnotherHostHasForgottenIsReadAnew);
  CPPUNIT_TEST(AHostOfALargeFleetReadsTheWholeFromAnother);
  CPPUNIT_TEST(APageOfAHostThatIsBehindIsNotTaken);
  CPPUNIT_TEST(AHostOfALargeFleetWaitsForItsTurnAtTheStore);
  CPPUNIT_TEST(AStoreWithMoreToTellIsReadOnAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = kStart;
    direct_reads_ = 0;
    taken_ = 0;
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

  static tail_read Told(const std::string& value, milliseconds age) {
    tail_read told;
    told.records = {{"k", value}};
    told.next = 9;
    told.age = age;
    return told;
  }

  /// @param others What other hosts tell.
  keyed_read ReadThrough(milliseconds age,
                         const std::optional<tail_read>& others = {}) {
    asio::io_context context;
    topic_asks asks;
    asks.reader = [age](const topic_question&,
                        const topic_asks::reader_hook& done) {
      done({.source = reading_source::kHost, .told = Told("told", age)});
    };
    asks.any = [others](const topic_question&,
                        const topic_asks::done_hook& done) { done(others); };
    shared_reading reading(context, asks, Now());
    const auto topic = reading.Share("t", Direct(), milliseconds(1000), kHold);
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
    CPPUNIT_ASSERT(tail.ReadFrom(4)->is_too_old);
    CPPUNIT_ASSERT(tail.ReadFrom(4)->records.empty());
    CPPUNIT_ASSERT(!tail.ReadFrom(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tail.ReadFrom(5)->records.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tail.ReadFrom(8)->records.size());
    tail.Note(20, Read({{"d", "4"}}, 21));
    CPPUNIT_ASSERT(tail.ReadFrom(8)->is_too_old);
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

  // The store turns a third of the hosts away, the readers among them. All
  // hosts then read for themselves, and spend as many calls in a second as else
  // in a minute. One that has read in a reader's place tells the others; nobody
  // takes an older word than from a reader.
  void WhereAReaderHasLostTheStoreFewReadInItsPlace() {
    const auto got =
        ReadThrough(milliseconds(1001), Told("by another", milliseconds(300)));
    CPPUNIT_ASSERT_EQUAL(std::string("by another"), *got.records.front().value);
    CPPUNIT_ASSERT_EQUAL(0, direct_reads_);
    ReadThrough(milliseconds(1001), Told("by another", milliseconds(1001)));
    CPPUNIT_ASSERT_EQUAL(1, direct_reads_);
  }

  /// A topic whose store does not answer, while another host knows it up to
  /// offset 9.
  keyed_read ReadWithoutStore(std::optional<std::uint64_t> from) {
    asio::io_context context;
    topic_asks asks;
    asks.reader = [](const topic_question&,
                     const topic_asks::reader_hook& done) {
      done({.source = reading_source::kStore, .told = std::nullopt});
    };
    asks.any = [this](const topic_question& question,
                      const topic_asks::done_hook& done) {
      asked_ = question;
      tail_read told;
      told.records = {{"k", "told"}};
      told.next = 9;
      told.age = milliseconds(20'000);
      done(told);
    };
    asks.on_taken = [this](const topic_question&, const tail_read&) {
      ++taken_;
    };
    keyed_topic away;
    away.read_newest = [](const std::function<void(keyed_read)>& done) {
      done({});
    };
    away.read_from = [](std::uint64_t, milliseconds,
                        const std::function<void(keyed_read)>& done) {
      done({});
    };
    shared_reading reading(context, asks, Now());
    const auto topic = reading.Share("t", away, milliseconds(1000), kHold);
    keyed_read got;
    const auto take = [&got](keyed_read read) { got = std::move(read); };
    if (from) {
      topic.read_from(*from, milliseconds(0), take);
    } else {
      topic.read_newest(take);
    }
    context.run();
    return got;
  }

  // All callers of a host are refused for want of a configuration: it was
  // killed and started while the store is down. The other hosts still serve
  // with what they read before, and what they know is all that it needs.
  void AHostThatStartsWhileTheStoreIsAwayTakesWhatOthersKnow() {
    const auto got = ReadWithoutStore(std::nullopt);
    CPPUNIT_ASSERT(got.outcome == store_outcome::kDone);
    CPPUNIT_ASSERT(got.second_hand);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, got.next);
    CPPUNIT_ASSERT_EQUAL(std::string("told"), *got.records.front().value);
    CPPUNIT_ASSERT_EQUAL(std::string("t"), asked_.topic);
    CPPUNIT_ASSERT(!asked_.from);
    CPPUNIT_ASSERT_EQUAL(1, taken_);
  }

  // The store refuses some hosts and serves the others. A refused one would go
  // on sending work to an endpoint that left, and obey a revoked key.
  void AHostThatTheStoreTurnsAwayHearsOfChanges() {
    const auto got = ReadWithoutStore(8);
    CPPUNIT_ASSERT(got.outcome == store_outcome::kDone);
    CPPUNIT_ASSERT(got.second_hand);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, *asked_.from);
  }

  // A failed read stays one, so that the outage is noticed as such.
  void WhatOthersKnowIsTakenOnlyWhereItIsNewer() {
    const auto got = ReadWithoutStore(9);
    CPPUNIT_ASSERT(got.outcome == store_outcome::kNoAnswer);
    CPPUNIT_ASSERT_EQUAL(0, taken_);
  }

  // A host that lost its place in the topic has not seen what was deleted in
  // between. Told on as the whole, an endpoint long gone would come back.
  void TheWholeIsToldOnlyWhereNoChangeWasMissed() {
    topic_tail tail(Now());
    CPPUNIT_ASSERT(!tail.ReadAll());
    tail.Note(3, Read({{"x", "0"}}, 4));
    CPPUNIT_ASSERT(!tail.ReadAll());
    tail.NoteAll(Read({{"a", "1"}, {"b", "2"}}, 7), milliseconds(400));
    CPPUNIT_ASSERT(tail.ReadAll()->age == milliseconds(400));
    tail.Note(7, Read({{"a", std::nullopt}, {"c", "3"}}, 9));
    const auto all = tail.ReadAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), all->records.front().key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, all->next);
    tail.Note(12, Read({{"d", "4"}}, 13));
    CPPUNIT_ASSERT(!tail.ReadAll());
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
         [](const keyed_read&) {}});
    follower.Start();
    context.run();
    CPPUNIT_ASSERT_EQUAL(2, all);
    CPPUNIT_ASSERT_EQUAL(2, changes);
  }

  static keyed_read ReadIn(std::uint64_t era, std::vector<keyed_record> records,
                           std::uint64_t next) {
    auto read = Read(std::move(records), next);
    read.era = era;
    return read;
  }

  // In an outage each host asks the store twice a second for each topic.
  void AnOutageIsLeftToTheReaders() {
    asio::io_context context;
    topic_asks asks;
    asks.reader = [](const topic_question&,
                     const topic_asks::reader_hook& done) {
      done({.source = reading_source::kHost, .told = std::nullopt});
    };
    asks.any = [](const topic_question&, const topic_asks::done_hook& done) {
      done(std::nullopt);
    };
    bool away = true;
    keyed_topic store;
    store.read_newest = [](const auto&) {};
    store.read_from = [&](std::uint64_t from, milliseconds,
                          const std::function<void(keyed_read)>& done) {
      ++direct_reads_;
      done(away ? keyed_read{} : Read({}, from));
    };
    shared_reading reading(context, asks, Now());
    const auto topic = reading.Share("t", store, milliseconds(1000), kHold);
    keyed_read got;
    const auto read = [&] {
      topic.read_from(8, milliseconds(0),
                      [&](const keyed_read& one) { got = one; });
      context.restart();
      context.run();
    };
    for (int i = 0; i < 20; ++i) {
      read();
      CPPUNIT_ASSERT(got.outcome == store_outcome::kNoAnswer);
      now_ += milliseconds(500);
    }
    CPPUNIT_ASSERT(direct_reads_ <= 8);
    // It is found to be back within two seconds, though no reader says so.
    away = false;
    for (int i = 0; i < 4 && got.outcome != store_outcome::kDone; ++i) {
      now_ += milliseconds(500);
      read();
    }
    CPPUNIT_ASSERT(got.outcome == store_outcome::kDone);
  }

  // Offsets given out again are taken for those of before.
  void OffsetsOfAnotherEraAreNotTold() {
    topic_tail tail(Now());
    tail.NoteAll(ReadIn(1, {{"a", "1"}}, 5));
    tail.Note(5, ReadIn(1, {{"a", "2"}}, 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tail.ReadFrom(5, 1)->records.size());
    CPPUNIT_ASSERT(!tail.ReadFrom(5, 2));
    tail.NoteAll(ReadIn(2, {{"a", "1"}}, 5));
    tail.Note(5, ReadIn(2, {{"b", "3"}}, 6));
    const auto told = tail.ReadFrom(5, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, told->era);
    CPPUNIT_ASSERT(told->records.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         tail.ReadFrom(5, 2)->records.front().key);
    // A read of the era before that was under way.
    tail.NoteAll(ReadIn(1, {}, 9));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, tail.ReadAll()->era);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tail.ReadAll()->records.size());
  }

  /// What a follower tells while it is answered by hand, by its kind.
  struct played_follower {
    explicit played_follower(asio::io_context& played)
        : context(played),
          follower(played, Topic(),
                   {milliseconds(0), milliseconds(0), milliseconds(20)},
                   {[this](const auto&) { told += "all "; },
                    [this](const auto&) { told += "changes "; },
                    [](const keyed_read&) {},
                    [this](const auto&) { told += "restored "; }}) {
      follower.Start();
    }

    keyed_topic Topic() {
      keyed_topic topic;
      topic.read_newest = [this](const std::function<void(keyed_read)>& done) {
        newest = done;
      };
      topic.read_from = [this](std::uint64_t, milliseconds,
                               const std::function<void(keyed_read)>& done) {
        next = done;
      };
      return topic;
    }

    void Answer(std::function<void(keyed_read)>& hook, const keyed_read& read) {
      const auto end =
          std::chrono::steady_clock::now() + std::chrono::seconds(10);
      while (!hook && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(milliseconds(10));
      }
      CPPUNIT_ASSERT(hook);
      std::exchange(hook, nullptr)(read);
    }

    asio::io_context& context;
    std::function<void(keyed_read)> newest;
    std::function<void(keyed_read)> next;
    std::string told;
    topic_follower follower;
  };

  // Offsets grow past a follower after a drill, and it misses records.
  void AFollowerReadsAllAnewInALaterEra() {
    asio::io_context context;
    played_follower played(context);
    played.Answer(played.newest, ReadIn(1, {}, 5));
    played.Answer(played.next, ReadIn(1, {{"a", "1"}}, 6));
    played.Answer(played.next, ReadIn(2, {{"z", "9"}}, 7));
    played.Answer(played.newest, ReadIn(2, {{"a", "0"}}, 4));
    played.Answer(played.next, ReadIn(2, {{"a", "1"}}, 5));
    CPPUNIT_ASSERT_EQUAL(std::string("all changes restored changes "),
                         played.told);
    // What was lost is written again by now, and the store is believed.
    context.restart();
    context.run_for(milliseconds(60));
    played.Answer(played.next, ReadIn(2, {}, 5));
    played.Answer(played.newest, ReadIn(2, {{"a", "1"}}, 5));
    CPPUNIT_ASSERT_EQUAL(std::string("all changes restored changes all "),
                         played.told);
  }

  void AnAnswerOfAnEarlierEraDoesNotCount() {
    asio::io_context context;
    played_follower played(context);
    played.Answer(played.newest, ReadIn(2, {}, 5));
    played.Answer(played.next, ReadIn(1, {{"a", "1"}}, 6));
    played.Answer(played.next, ReadIn(2, {{"a", "2"}}, 6));
    CPPUNIT_ASSERT_EQUAL(std::string("all changes "), played.told);
  }

  /// Keys "k0000" and on, each of as many bytes.
  static keyed_read LargeRead(std::size_t records, std::size_t bytes) {
    std::vector<keyed_record> made;
    for (std::size_t i = 0; i < records; ++i) {
      const auto number = std::to_string(i);
      made.push_back({"k" + std::string(4 - number.size(), '0') + number,
                      std::string(bytes, 'x')});
    }
    return Read(std::move(made), records);
  }

  // A list of twenty thousand endpoints is larger than a message may be.
  void ALargeWholeIsToldInPages() {
    constexpr std::size_t kRecords = 4000;
    constexpr std::size_t kBytes = 300;
    topic_tail tail(Now());
    tail.NoteAll(LargeRead(kRecords, kBytes));
    std::set<std::string> keys;
    std::string last;
    std::size_t pages = 0;
    for (bool has_more = true; has_more; ++pages) {
      const auto page = tail.ReadAll(last);
      CPPUNIT_ASSERT(page->records.size() * kBytes <= std::size_t{256} << 10U);
      for (const auto& record : page->records) {
        CPPUNIT_ASSERT(keys.insert(record.key).second);
      }
      last = page->records.back().key;
      has_more = page->has_more;
    }
    CPPUNIT_ASSERT_EQUAL(kRecords, keys.size());
    CPPUNIT_ASSERT(pages > 1);
    // What follows an offset is told in parts, too.
    tail.Note(kRecords, LargeRead(kRecords, kBytes + 1));
    const auto part = tail.ReadFrom(kRecords);
    CPPUNIT_ASSERT(part->has_more);
    CPPUNIT_ASSERT_EQUAL(kRecords + part->records.size(),
                         static_cast<std::size_t>(part->next));
  }

  // Followers of a host were sent each of a dozen configurations written in a
  // row.
  void OnlyTheNewestOfEachKeyIsToldOn() {
    topic_tail tail(Now());
    tail.NoteAll(Read({}, 5));
    tail.Note(5, Read({{"a", "1"}, {"b", "1"}, {"a", "2"}}, 8));
    const auto told = tail.ReadFrom(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *told->records[1].value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, told->records[1].offset);
    // A host that has read up to there knows "b".
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tail.ReadFrom(7)->records.size());
  }

  void DeletionsAreForgottenOnlyWithTheirOffsets() {
    topic_tail tail(Now());
    tail.NoteAll(Read({{"a", "1"}}, 5));
    tail.Note(5, Read({{"a", std::nullopt}}, 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tail.ReadFrom(5)->records.size());
    now_ += std::chrono::minutes(2);
    tail.Note(6, Read({{"b", "1"}}, 7));
    CPPUNIT_ASSERT(tail.ReadFrom(5)->is_too_old);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tail.ReadFrom(6)->records.size());
  }

  // A host that two reads had told of the same records could no longer tell
  // others the whole, and told them less than before.
  void AnOverlappingReadTakesNothingBack() {
    topic_tail tail(Now());
    tail.NoteAll(Read({{"a", "1"}}, 5));
    tail.Note(5, Read({{"a", "2"}, {"b", "1"}, {"a", "3"}}, 8));
    tail.Note(5, Read({{"a", "2"}}, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, tail.Next());
    tail.Note(6, Read({{"b", "1"}, {"a", "3"}, {"c", "1"}}, 9));
    const auto all = tail.ReadAll();
    CPPUNIT_ASSERT(all);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, all->next);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, all->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("3"), *all->records.front().value);
  }

  // The store is away, and the only other host no longer has the deletions
  // since. Taken for having read as far, this host would report the endpoints
  // that are gone as listed.
  void WhatAnotherHostHasForgottenIsReadAnew() {
    asio::io_context context;
    topic_asks asks;
    asks.reader = [](const topic_question&,
                     const topic_asks::reader_hook& done) {
      done({.source = reading_source::kStore, .told = std::nullopt});
    };
    asks.any = [](const topic_question&, const topic_asks::done_hook& done) {
      tail_read told;
      told.next = 90;
      told.is_too_old = true;
      done(told);
    };
    asks.on_taken = [](const topic_question&, const tail_read&) {};
    auto store = Direct();
    store.read_from = [](std::uint64_t, milliseconds,
                         const std::function<void(keyed_read)>& done) {
      done({});
    };
    shared_reading reading(context, asks, Now());
    const auto topic = reading.Share("t", store, milliseconds(1000), kHold);
    keyed_read got;
    const auto take = [&got](keyed_read read) { got = std::move(read); };
    topic.read_newest(take);
    context.run();
    topic.read_from(5, milliseconds(0), take);
    context.restart();
    context.run();
    CPPUNIT_ASSERT(got.outcome == store_outcome::kTooOld);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                         reading.Answer({"t", std::nullopt})->next);
  }

  /// Reads the whole as a host of a large fleet, which follows another that
  /// answers with these pages.
  keyed_read ReadWholeThrough(std::vector<std::optional<tail_read>> pages) {
    asio::io_context context;
    topic_asks asks;
    asks.reader = [&](const topic_question& question,
                      const topic_asks::reader_hook& done) {
      asked_ = question;
      reader_answer answer;
      answer.source = reading_source::kHost;
      answer.hosts = 985;
      if (!pages.empty()) {
        answer.told = pages.front();
        pages.erase(pages.begin());
      }
      done(std::move(answer));
    };
    shared_reading reading(context, asks, Now());
    auto direct = Direct();
    direct.read_newest = [this](const std::function<void(keyed_read)>& done) {
      ++direct_reads_;
      done(Read({{"k", "direct"}}, 5));
    };
    const auto topic = reading.Share("t", direct, milliseconds(1000), kHold);
    std::optional<keyed_read> got;
    topic.read_newest([&got](keyed_read read) { got = std::move(read); });
    const auto end = now_ + std::chrono::seconds(30);
    while (!got && now_ < end) {
      context.restart();
      context.run_one_for(milliseconds(200));
      now_ += milliseconds(100);
    }
    CPPUNIT_ASSERT(got);
    return *got;
  }

  // A thousand hosts that start read ten thousand endpoints from the store
  // each, which then answers nobody.
  void AHostOfALargeFleetReadsTheWholeFromAnother() {
    auto first = Told("1", milliseconds(20));
    first.has_more = true;
    tail_read second;
    second.records = {{"l", "2"}};
    second.next = 11;
    const auto got = ReadWholeThrough({std::nullopt, first, second});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, got.records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("k"), asked_.after);
    // What changed after the first page is read once more.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, got.next);
    CPPUNIT_ASSERT_EQUAL(0, direct_reads_);
  }

  // The first host was lost between two pages. What the other has not read yet
  // would never be: reading goes on after it.
  void APageOfAHostThatIsBehindIsNotTaken() {
    auto first = Told("1", milliseconds(20));
    first.has_more = true;
    auto behind = Told("old", milliseconds(20));
    behind.next = 8;
    const auto got =
        ReadWholeThrough({first, behind, Told("2", milliseconds(20))});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *got.records[0].value);
  }

  void AHostOfALargeFleetWaitsForItsTurnAtTheStore() {
    const auto began = now_;
    const auto got = ReadWholeThrough({});
    CPPUNIT_ASSERT_EQUAL(std::string("direct"), *got.records[0].value);
    CPPUNIT_ASSERT_EQUAL(1, direct_reads_);
    CPPUNIT_ASSERT(now_ - began < std::chrono::seconds(10));
  }

  // A store tells a megabyte at a time. A reader that paused between two reads
  // fell behind once more was written than that, until records expired.
  void AStoreWithMoreToTellIsReadOnAtOnce() {
    asio::io_context context;
    keyed_topic topic;
    topic.read_newest = [](const std::function<void(keyed_read)>& done) {
      auto read = Read({}, 0);
      read.was_held = true;
      done(read);
    };
    std::uint64_t reached = 0;
    topic.read_from = [&](std::uint64_t from, milliseconds,
                          const std::function<void(keyed_read)>& done) {
      reached = from;
      auto read = Read({{"k", "v"}}, from + 1);
      read.end = 20;
      if (from < read.end) {
        done(read);
      }
    };
    topic_follower follower(
        context, topic, {milliseconds(0), std::chrono::hours(1)},
        {[](const auto&) {}, [](const auto&) {}, [](const keyed_read&) {}});
    follower.Start();
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (reached < 19 && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{19}, reached);
  }

  time_point now_;
  int direct_reads_ = 0;
  int taken_ = 0;
  topic_question asked_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_reading_test);

}  // namespace
}  // namespace slatestall
