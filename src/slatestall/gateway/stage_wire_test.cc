#include "slatestall/gateway/stage_wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace slatestall {
namespace {

const time_point kNow{std::chrono::hours(1)};

stage_need Need() {
  stage_need need;
  need.shard = {"draft", "domain-1"};
  need.booking.request = "r1";
  need.booking.content = 0xfedcba9876543210U;
  need.booking.workspace = "w1";
  need.booking.kind = 0x8000000000000001U;
  need.booking.stage = 2;
  need.booking.pieces = 16;
  need.booking.rank = 1;
  need.booking.due = kNow + milliseconds(300);
  need.booking.useful_by = kNow + milliseconds(1500);
  need.booking.worthless_after = kNow - milliseconds(5);
  return need;
}

class stage_wire_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stage_wire_test);
  CPPUNIT_TEST(ABookingArrivesAsItWasSent);
  CPPUNIT_TEST(PiecesArriveAsTheyWereSent);
  CPPUNIT_TEST(ALostReplyOfABookingCountsAsAccepted);
  CPPUNIT_TEST(ARankOutOfRangeKeepsItsSide);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a home that knows workspace and kind only of its own host's
  // requests, and shares capacity among those alone.
  void ABookingArrivesAsItWasSent() {
    const auto sent = Need();
    const time_point later = kNow + milliseconds(7000);
    const auto came = FromWire(ToWire(sent, kNow), later);
    CPPUNIT_ASSERT(came.shard == sent.shard);
    CPPUNIT_ASSERT_EQUAL(sent.booking.request, came.booking.request);
    CPPUNIT_ASSERT_EQUAL(sent.booking.workspace, came.booking.workspace);
    CPPUNIT_ASSERT_EQUAL(sent.booking.kind, came.booking.kind);
    CPPUNIT_ASSERT(sent.booking.content == came.booking.content);
    CPPUNIT_ASSERT_EQUAL(sent.booking.stage, came.booking.stage);
    CPPUNIT_ASSERT_EQUAL(sent.booking.pieces, came.booking.pieces);
    CPPUNIT_ASSERT_EQUAL(sent.booking.rank, came.booking.rank);
    CPPUNIT_ASSERT(came.booking.due - later == sent.booking.due - kNow);
    CPPUNIT_ASSERT(came.booking.useful_by - later ==
                   sent.booking.useful_by - kNow);
    CPPUNIT_ASSERT(came.booking.worthless_after - later ==
                   sent.booking.worthless_after - kNow);
  }

  // Guards against pieces whose kind is lost on the way, so that their cost is
  // learnt for the wrong kind.
  void PiecesArriveAsTheyWereSent() {
    piece_group group;
    group.request = "r1";
    group.workspace = "w1";
    group.kind = 7;
    group.content = 9;
    group.pieces = 3;
    const auto came = FromWire(ToWire({"draft", ""}, group, kNow), kNow);
    CPPUNIT_ASSERT_EQUAL(group.workspace, came.workspace);
    CPPUNIT_ASSERT_EQUAL(group.kind, came.kind);
    CPPUNIT_ASSERT(group.content == came.content);
    CPPUNIT_ASSERT_EQUAL(group.pieces, came.pieces);
  }

  // Guards against refusing a request because the answer of one home was lost.
  void ALostReplyOfABookingCountsAsAccepted() {
    CPPUNIT_ASSERT(AnswerIn(peer_reply{}).verdict == booking_verdict::kInTime);
  }

  // Guards against a rank that wraps around on the wire, so that the least
  // urgent work arrives as the most urgent.
  void ARankOutOfRangeKeepsItsSide() {
    auto need = Need();
    need.booking.rank = 40'000;
    CPPUNIT_ASSERT(FromWire(ToWire(need, kNow), kNow).booking.rank > 30'000);
    need.booking.rank = -40'000;
    CPPUNIT_ASSERT(FromWire(ToWire(need, kNow), kNow).booking.rank < -30'000);
    piece_group group;
    group.rank = std::numeric_limits<int>::max();
    CPPUNIT_ASSERT(FromWire(ToWire({"draft", ""}, group, kNow), kNow).rank >
                   30'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_wire_test);

}  // namespace
}  // namespace slatestall
