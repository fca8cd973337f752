#include "slatestall/policy/claim_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

const host_id kHost{"e1", 5};

claim_attempt Attempt(const std::string& request, std::uint64_t body = 7) {
  return {{"shop", "k"}, body, request, kHost};
}

claim_ending Ending(const std::string& request) {
  return {{"shop", "k"},
          7,
          request,
          false,
          std::make_shared<const claim_outcome>(
              claim_outcome{200, "text/plain", "done by " + request})};
}

claim_ending Released(const std::string& request) {
  return {{"shop", "k"}, 7, request, true, nullptr};
}

class claim_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_table_test);
  CPPUNIT_TEST(FirstAttemptWins);
  CPPUNIT_TEST(OnlyTheHolderReleases);
  CPPUNIT_TEST(LateClaimAfterItsRelease);
  CPPUNIT_TEST(EndingWithoutItsClaim);
  CPPUNIT_TEST(OutcomesAreBounded);
  CPPUNIT_TEST(ForgetsByPosition);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstAttemptWins() {
    claim_table table({});
    CPPUNIT_ASSERT(table.Claim(Attempt("a"), 1).result == claim_result::kWon);
    CPPUNIT_ASSERT(table.Claim(Attempt("b"), 2).result == claim_result::kHeld);
    CPPUNIT_ASSERT(table.Claim(Attempt("a"), 3).result == claim_result::kWon);
    const claim_answer reused = table.Claim(Attempt("c", 8), 4);
    CPPUNIT_ASSERT(reused.refusal == error_kind::kKeyReused);
    table.End(Ending("a"), 5);
    const claim_answer ended = table.Claim(Attempt("b"), 6);
    CPPUNIT_ASSERT(ended.result == claim_result::kEnded);
    CPPUNIT_ASSERT_EQUAL(std::string("done by a"), ended.outcome->body);
  }

  void OnlyTheHolderReleases() {
    claim_table table({});
    table.Claim(Attempt("a"), 1);
    table.End(Released("b"), 2);
    CPPUNIT_ASSERT(table.Claim(Attempt("c"), 3).result == claim_result::kHeld);
    table.End(Released("a"), 4);
    CPPUNIT_ASSERT(table.Claim(Attempt("c"), 5).result == claim_result::kWon);
  }

  // A claim's append is believed lost, the request is refused and its claim
  // released. Then the append arrives after all. It must not hold the key for
  // a request that has long been refused.
  void LateClaimAfterItsRelease() {
    claim_table table({});
    table.End(Released("a"), 1);
    CPPUNIT_ASSERT(table.Claim(Attempt("a"), 2).result ==
                   claim_result::kRefused);
    CPPUNIT_ASSERT(table.Claim(Attempt("b"), 3).result == claim_result::kWon);
  }

  // A reader starts where the log begins to be kept: the winner's claim is
  // gone, a loser's is the oldest left. The winner's ending shows that the key
  // was used, so it counts over the loser that seems to hold it.
  void EndingWithoutItsClaim() {
    claim_table table({});
    table.Claim(Attempt("loser"), 10);
    table.End(Ending("winner"), 11);
    table.End(Ending("other"), 12);
    table.End(Released("loser"), 13);
    const claim_answer answer = table.Claim(Attempt("c"), 14);
    CPPUNIT_ASSERT(answer.result == claim_result::kEnded);
    CPPUNIT_ASSERT_EQUAL(std::string("done by winner"), answer.outcome->body);
  }

  void OutcomesAreBounded() {
    claim_table table({10, 400});
    for (std::uint64_t number = 0; number < 5; ++number) {
      claim_ending ending = Ending("a");
      ending.key.key = std::to_string(number);
      table.End(ending, number);
      CPPUNIT_ASSERT(table.OutcomeBytes() <= 400);
    }
    claim_attempt first = Attempt("b");
    first.key.key = "0";
    const claim_answer answer = table.Find(first);
    CPPUNIT_ASSERT(answer.result == claim_result::kEnded);
    CPPUNIT_ASSERT(answer.outcome == nullptr && answer.outcome_in_log);
    CPPUNIT_ASSERT(!table.HasRoomFor(6));
  }

  void ForgetsByPosition() {
    claim_table table({});
    table.Claim(Attempt("a"), 3);
    table.End(Ending("a"), 8);
    table.Forget(8);
    CPPUNIT_ASSERT(!table.IsFree({"shop", "k"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.RowsBelow(9, 5).size());
    table.Forget(9);
    CPPUNIT_ASSERT(table.IsFree({"shop", "k"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_table_test);

}  // namespace
}  // namespace slatestall
