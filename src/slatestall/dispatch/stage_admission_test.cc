#include "slatestall/dispatch/stage_admission.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace slatestall {
namespace {

const time_point kStart{std::chrono::hours(1)};

/// A piece takes a millisecond of an endpoint.
constexpr milliseconds kPieceWork{1};

stage_capacity Capacity(double pieces_per_second) {
  stage_capacity capacity;
  capacity.calls =
      pieces_per_second * std::chrono::duration<double>(kPieceWork).count();
  capacity.call_time = milliseconds(250);
  return capacity;
}

stage_booking Booking(const std::string& request, time_point now,
                      int rank = 0) {
  stage_booking booking;
  booking.request = request;
  booking.stage = 2;
  booking.pieces = 16;
  booking.work = 16 * kPieceWork;
  booking.rank = rank;
  booking.due = now + milliseconds(500);
  booking.useful_by = now + milliseconds(1400);
  booking.worthless_after = now + milliseconds(4800);
  return booking;
}

/// Pieces that wait, due as soon as any.
stage_backlog Waiting(std::size_t pieces, time_point now) {
  stage_backlog backlog;
  backlog.in_time.push_back({now + milliseconds(300), 0,
                             kPieceWork * static_cast<duration::rep>(pieces)});
  return backlog;
}

class stage_admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stage_admission_test);
  CPPUNIT_TEST(AnIdleShardTakesWhatComes);
  CPPUNIT_TEST(ABurstIsTakenUpToWhatCanBeMadeInTime);
  CPPUNIT_TEST(UnderOverloadTheMoreUrgentKeepTheirPlaces);
  CPPUNIT_TEST(AShardWithoutEndpointsRefuses);
  CPPUNIT_TEST(AShardThatIsClosedForTooLongSaysUntilWhen);
  CPPUNIT_TEST(AShardThatOpensInTimeTakesWhatComes);
  CPPUNIT_TEST(BookingsThatNeverComeAreForgotten);
  CPPUNIT_TEST(LatePiecesLowerWhatIsCountedOn);
  CPPUNIT_TEST(WhatIsReleasedIsNeitherHeldNorOwed);
  CPPUNIT_TEST_SUITE_END();

  void AnIdleShardTakesWhatComes() {
    stage_admission admission;
    const auto answer =
        admission.Book(Booking("r", kStart), Capacity(1000), {}, kStart);
    CPPUNIT_ASSERT(answer.verdict == booking_verdict::kInTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, admission.Booked());
  }

  // All endpoints have turned calls away: requests were taken that could only
  // wait for their deadline.
  void AShardThatIsClosedForTooLongSaysUntilWhen() {
    stage_admission admission;
    auto capacity = Capacity(1000);
    capacity.opens_at = kStart + milliseconds(3000);
    const auto answer =
        admission.Book(Booking("r", kStart), capacity, {}, kStart);
    CPPUNIT_ASSERT(answer.verdict == booking_verdict::kRefused);
    CPPUNIT_ASSERT(answer.room_after >= milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, admission.Booked());
  }

  void AShardThatOpensInTimeTakesWhatComes() {
    stage_admission admission;
    auto capacity = Capacity(1000);
    capacity.opens_at = kStart + milliseconds(700);
    const auto answer =
        admission.Book(Booking("r", kStart), capacity, {}, kStart);
    CPPUNIT_ASSERT(answer.verdict == booking_verdict::kInTime);
  }

  // The load: for five seconds twice as many requests come as the shard can
  // make. Half of them must be taken in time, no more than can be; the others
  // are told when there may be room.
  void ABurstIsTakenUpToWhatCanBeMadeInTime() {
    stage_admission admission;
    const auto capacity = Capacity(1600);  // 100 requests a second.
    std::vector<std::pair<time_point, std::string>> coming;
    std::size_t next = 0;
    int in_time = 0;
    int refused = 0;
    double waiting = 0;
    for (int i = 0; i < 1000; ++i) {  // 200 a second.
      const time_point now = kStart + milliseconds(5 * i);
      while (next < coming.size() && coming[next].first <= now) {
        admission.Release(coming[next++].second, 2);
        waiting += 16;
      }
      waiting = std::max(0.0, waiting - 1600 * 0.005);
      const auto pieces = static_cast<std::size_t>(waiting);
      const auto id = std::to_string(i);
      const auto answer =
          admission.Book(Booking(id, now), capacity, Waiting(pieces, now), now);
      if (answer.verdict == booking_verdict::kInTime) {
        ++in_time;
        coming.emplace_back(now + milliseconds(500), id);
      } else if (answer.verdict == booking_verdict::kRefused) {
        ++refused;
        CPPUNIT_ASSERT(answer.room_after > duration(0));
      } else {
        admission.Release(id, 2);
      }
    }
    // 500 by rate, and what the spare time of the first ones allows on top.
    CPPUNIT_ASSERT(in_time > 480);
    CPPUNIT_ASSERT(in_time < 680);
    CPPUNIT_ASSERT(refused > 0);
  }

  void UnderOverloadTheMoreUrgentKeepTheirPlaces() {
    stage_admission admission;
    const auto capacity = Capacity(1600);
    int taken[2] = {0, 0};
    for (int i = 0; i < 400; ++i) {
      const int rank = i % 2 == 0 ? 0 : 2;
      const auto answer = admission.Book(
          Booking(std::to_string(i), kStart, rank), capacity, {}, kStart);
      taken[rank / 2] += answer.verdict == booking_verdict::kInTime ? 1 : 0;
    }
    CPPUNIT_ASSERT(taken[0] > taken[1]);
    CPPUNIT_ASSERT(taken[1] > 0);
  }

  void AShardWithoutEndpointsRefuses() {
    stage_admission admission;
    CPPUNIT_ASSERT(
        admission.Book(Booking("r", kStart), Capacity(0), {}, kStart).verdict ==
        booking_verdict::kRefused);
  }

  // A host books and dies. Were its bookings kept, the shard would refuse
  // others for work that never comes.
  void BookingsThatNeverComeAreForgotten() {
    stage_admission admission;
    for (int i = 0; i < 50; ++i) {
      admission.Book(Booking(std::to_string(i), kStart), Capacity(1600), {},
                     kStart);
    }
    CPPUNIT_ASSERT(admission.Booked() > 0);
    const time_point later = kStart + std::chrono::seconds(3);
    admission.Book(Booking("new", later), Capacity(1600), {}, later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, admission.Booked());
  }

  void LatePiecesLowerWhatIsCountedOn() {
    stage_admission admission;
    time_point now = kStart;
    for (int i = 0; i < 10; ++i) {
      now += milliseconds(250);
      admission.NoteOutcome(50, 50, now);
    }
    const double low = admission.Confidence();
    CPPUNIT_ASSERT(low < 0.5);
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(250);
      admission.NoteOutcome(100, 0, now);
    }
    CPPUNIT_ASSERT(admission.Confidence() > 1.0);
  }

  void WhatIsReleasedIsNeitherHeldNorOwed() {
    CPPUNIT_ASSERT(rc::check("bookings and releases leave nothing behind", [] {
      stage_admission admission;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
          rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::arbitrary<bool>()));
      time_point now = kStart;
      for (const auto& [request, books] : steps) {
        now += milliseconds(10);
        const auto id = std::to_string(request);
        if (books) {
          admission.Book(Booking(id, now), Capacity(400), {}, now);
        } else {
          admission.Release(id, 2);
        }
      }
      for (int request = 0; request < 8; ++request) {
        admission.Release(std::to_string(request), 2);
      }
      RC_ASSERT(admission.Booked() == 0U);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_admission_test);

}  // namespace
}  // namespace slatestall
