#include "slatestall/dispatch/piece_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kFullCall{278};

piece_group_ptr Group(const std::string& request, unsigned pieces,
                      milliseconds useful, milliseconds worthless,
                      const std::string& near = "") {
  piece_group group;
  group.request = request;
  group.pieces = pieces;
  group.useful_by = kStart + useful;
  group.worthless_after = kStart + worthless;
  group.near = near;
  group.came = kStart;
  return std::make_shared<const piece_group>(group);
}

batch_terms Terms(unsigned most, const std::string& domain = "a") {
  batch_terms terms;
  terms.now = kStart;
  terms.call_time = milliseconds(200);
  terms.late_wait = milliseconds(6000);
  terms.most = most;
  terms.domain = domain;
  terms.room = 1U << 30U;
  terms.has_endpoint = [](const std::string&) { return true; };
  return terms;
}

std::string Requests(const piece_batch& batch) {
  std::string text;
  for (const auto& piece : batch.pieces) {
    text += piece.group->request;
  }
  return text;
}

class piece_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(piece_queue_test);
  CPPUNIT_TEST(PiecesOfManyRequestsShareACall);
  CPPUNIT_TEST(ALatePieceNeverDelaysOneThatCanBeInTime);
  CPPUNIT_TEST(AFullCallThatEndsTooLateIsNotHurriedFor);
  CPPUNIT_TEST(WhatIsWorthlessIsDroppedAndTold);
  CPPUNIT_TEST(ALatePieceThatIsPassedOverIsGivenUpEarly);
  CPPUNIT_TEST(APieceWaitsForItsDomainOnlyWhileItHasTime);
  CPPUNIT_TEST(PiecesOfTheOwnDomainGoFirst);
  CPPUNIT_TEST(ADomainWithoutEndpointsIsNotWaitedFor);
  CPPUNIT_TEST(LargeResultsWaitForRoomAndSmallOnesDoNot);
  CPPUNIT_TEST(InABurstTheOnesInTimeAreServedAndNoneIsLost);
  CPPUNIT_TEST_SUITE_END();

  void PiecesOfManyRequestsShareACall() {
    piece_queue queue;
    queue.Add(Group("x", 2, milliseconds(900), milliseconds(5000)), kStart,
              kFullCall);
    queue.Add(Group("y", 3, milliseconds(500), milliseconds(5000)), kStart,
              kFullCall);
    CPPUNIT_ASSERT_EQUAL(std::string("yyyx"), Requests(queue.Take(Terms(4))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.Pieces());
  }

  void ALatePieceNeverDelaysOneThatCanBeInTime() {
    piece_queue queue;
    queue.Add(Group("l", 2, milliseconds(100), milliseconds(1000)), kStart,
              kFullCall);
    queue.Add(Group("i", 2, milliseconds(900), milliseconds(5000)), kStart,
              kFullCall);
    CPPUNIT_ASSERT_EQUAL(std::string("iil"), Requests(queue.Take(Terms(3))));
  }

  // A burst: calls go full, and a full call takes twice as long as one with a
  // single piece. The pieces that are due first would be in time in that one,
  // but not in the call that is made. Hurried for, they are late all the same,
  // and those behind them miss their turn: at the end all are late.
  void AFullCallThatEndsTooLateIsNotHurriedFor() {
    piece_queue queue;
    queue.Add(Group("d", 4, milliseconds(300), milliseconds(5000)), kStart,
              kFullCall);
    queue.Add(Group("e", 4, milliseconds(500), milliseconds(5000)), kStart,
              kFullCall);
    auto terms = Terms(4);
    terms.piece_time = milliseconds(50);
    const auto batch = queue.Take(terms);
    CPPUNIT_ASSERT_EQUAL(std::string("eeee"), Requests(batch));
    CPPUNIT_ASSERT(batch.done_by == kStart + milliseconds(400));
    piece_queue calm;
    calm.Add(Group("d", 1, milliseconds(300), milliseconds(5000)), kStart,
             kFullCall);
    calm.Add(Group("e", 1, milliseconds(500), milliseconds(5000)), kStart,
             kFullCall);
    CPPUNIT_ASSERT_EQUAL(std::string("de"), Requests(calm.Take(terms)));
  }

  void WhatIsWorthlessIsDroppedAndTold() {
    piece_queue queue;
    queue.Add(Group("w", 2, milliseconds(0), milliseconds(100)), kStart,
              kFullCall);
    const auto batch = queue.Take(Terms(4));
    CPPUNIT_ASSERT(batch.pieces.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.expired.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.Pieces());
  }

  // A caller whose request is late waits beside a burst: every call is filled
  // with pieces that can be in time, for seconds. It would be held until its
  // deadline of 6 s and then be told nothing of use; given up after the time
  // that late pieces may wait, it is refused as not run and can come back.
  void ALatePieceThatIsPassedOverIsGivenUpEarly() {
    piece_queue queue;
    queue.Add(Group("l", 1, milliseconds(100), milliseconds(6000)), kStart,
              kFullCall);
    milliseconds given_up{0};
    for (milliseconds at{0}; at < milliseconds(3000) && given_up.count() == 0;
         at += milliseconds(200)) {
      queue.Add(Group("i", 4, at + milliseconds(500), milliseconds(6000)),
                kStart + at, kFullCall);
      auto terms = Terms(4);
      terms.now = kStart + at;
      terms.late_wait = milliseconds(1000);
      const auto batch = queue.Take(terms);
      CPPUNIT_ASSERT_EQUAL(std::string("iiii"), Requests(batch));
      if (!batch.expired.empty()) {
        given_up = at;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1200}, std::int64_t{given_up.count()});
  }

  void APieceWaitsForItsDomainOnlyWhileItHasTime() {
    piece_queue queue;
    queue.Add(Group("n", 1, milliseconds(600), milliseconds(5000), "b"), kStart,
              kFullCall);
    auto terms = Terms(4);
    CPPUNIT_ASSERT(queue.Take(terms).pieces.empty());
    terms.now = kStart + milliseconds(200);  // A third of its spare time.
    CPPUNIT_ASSERT_EQUAL(std::string("n"), Requests(queue.Take(terms)));
  }

  void PiecesOfTheOwnDomainGoFirst() {
    piece_queue queue;
    queue.Add(Group("f", 2, milliseconds(400), milliseconds(5000), "b"),
              kStart - milliseconds(400), kFullCall);
    queue.Add(Group("o", 2, milliseconds(900), milliseconds(5000), "a"),
              kStart - milliseconds(400), kFullCall);
    CPPUNIT_ASSERT_EQUAL(std::string("oof"), Requests(queue.Take(Terms(3))));
  }

  void ADomainWithoutEndpointsIsNotWaitedFor() {
    piece_queue queue;
    queue.Add(Group("n", 1, milliseconds(900), milliseconds(5000), "gone"),
              kStart, kFullCall);
    auto terms = Terms(4);
    terms.has_endpoint = [](const std::string& domain) {
      return domain != "gone";
    };
    CPPUNIT_ASSERT_EQUAL(std::string("n"), Requests(queue.Take(terms)));
  }

  void LargeResultsWaitForRoomAndSmallOnesDoNot() {
    piece_queue queue;
    piece_group large = *Group("L", 3, milliseconds(500), milliseconds(5000));
    large.result_bytes = 3'000'000;
    queue.Add(std::make_shared<const piece_group>(large), kStart, kFullCall);
    queue.Add(Group("s", 2, milliseconds(900), milliseconds(5000)), kStart,
              kFullCall);
    auto terms = Terms(8);
    terms.room = 4'000'000;
    CPPUNIT_ASSERT_EQUAL(std::string("Lss"), Requests(queue.Take(terms)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.Pieces());
  }

  // The load: 40 requests of 8 pieces come in one second to a service that
  // makes 40 pieces a call, one call each 250 ms. What is taken first must be
  // what can be in time; each piece is taken once or told as expired.
  void InABurstTheOnesInTimeAreServedAndNoneIsLost() {
    constexpr int kRequests = 40;
    constexpr unsigned kPieces = 8;
    piece_queue queue;
    std::set<std::pair<std::string, unsigned>> taken;
    std::set<std::string> expired;
    int added = 0;
    int late = 0;
    for (int ms = 0; ms < 6000; ms += 25) {
      const milliseconds now(ms);
      if (added < kRequests) {
        queue.Add(Group(std::to_string(added++), kPieces,
                        now + milliseconds(700), now + milliseconds(4000)),
                  kStart + now, kFullCall);
      }
      if (ms % 250 != 0) {
        continue;
      }
      auto terms = Terms(40);
      terms.now = kStart + now;
      const auto batch = queue.Take(terms);
      bool late_seen = false;
      for (const auto& piece : batch.pieces) {
        const bool is_late =
            piece.group->useful_by < terms.now + terms.call_time;
        CPPUNIT_ASSERT(is_late || !late_seen);
        late_seen = late_seen || is_late;
        late += is_late ? 1 : 0;
        CPPUNIT_ASSERT(taken.emplace(piece.group->request, piece.piece).second);
      }
      for (const auto& group : batch.expired) {
        CPPUNIT_ASSERT(expired.insert(group->request).second);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.Pieces());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRequests} * kPieces, taken.size());
    CPPUNIT_ASSERT(expired.empty());
    CPPUNIT_ASSERT(late < static_cast<int>(kRequests * kPieces) / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(piece_queue_test);

}  // namespace
}  // namespace slatestall
