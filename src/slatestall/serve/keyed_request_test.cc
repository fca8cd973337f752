#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "slatestall/serve/test_lane.h"

namespace slatestall {
namespace {

const http_headers kKey{{"Idempotency-Key", "k1"}};
const http_headers kKeyAsStream{{"Idempotency-Key", "k1"},
                                {"Accept", "text/event-stream"}};

class keyed_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(keyed_request_test);
  CPPUNIT_TEST(BilledRequestNeedsAKey);
  CPPUNIT_TEST(SecondSendingGetsTheFirstAnswer);
  CPPUNIT_TEST(KeyStateIsToldToItsWorkspace);
  CPPUNIT_TEST(UnclaimedRequestIsNotRun);
  CPPUNIT_TEST(LapsedClaimSendsNothing);
  CPPUNIT_TEST(RefusalThatProvesNotRunFreesTheKey);
  CPPUNIT_TEST(UnprovenRefusalIsNeverSentAgain);
  CPPUNIT_TEST(LetterWithoutAnAnswerIsUnknown);
  CPPUNIT_TEST(FailureAfterTheLetterSaysThatItRan);
  CPPUNIT_TEST(CutBilledStreamIsResumedNotRunAgain);
  CPPUNIT_TEST(BilledAnswerLostAgainAndAgainIsFetched);
  CPPUNIT_TEST(LostBilledStreamIsUnknown);
  CPPUNIT_TEST(ClosedCallerLeavesASentRequestRunning);
  CPPUNIT_TEST(ClosedCallerFreesAnUnsentRequest);
  CPPUNIT_TEST(ClaimWonTooLateIsGivenBack);
  CPPUNIT_TEST(VerdictsMayComeOnAnyThread);
  CPPUNIT_TEST(DeadlineOfASentRequestIsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  static test_answer_ptr SendLetter(test_lane& t, http_headers headers) {
    return t.Call("POST", "/v1/workspaces/shop/services/letters",
                  std::move(headers), "dear");
  }

  void BilledRequestNeedsAKey() {
    test_lane t;
    t.Start();
    t.AwaitProblem(t.Run("billed"), error_kind::kKeyRequired, "no");
    t.AwaitProblem(SendLetter(t, {}), error_kind::kKeyRequired, "no");
    const auto key = t.Call("POST", "/v1/workspaces/shop/keys", {}, "");
    t.Await(key);
    CPPUNIT_ASSERT_EQUAL(201, key->result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("minted-for-shop"),
                         key->Json().value("key", ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, t.EngineCalls());
  }

  void SecondSendingGetsTheFirstAnswer() {
    // The caller resends a draft whose answer got lost on its way: it gets the
    // same answer, also as a stream, and is billed once.
    test_lane t;
    t.Start();
    const auto first = t.Run("billed", kKey);
    t.Await(first);
    const auto second = t.Run("billed", kKey);
    const auto streamed = t.Run("billed", kKeyAsStream);
    t.Await(second);
    t.Await(streamed);
    CPPUNIT_ASSERT_EQUAL(first->result.body, second->result.body);
    CPPUNIT_ASSERT_EQUAL(
        std::string("true"),
        std::string(FindHeader(second->result.headers, "Idempotent-Replay")));
    CPPUNIT_ASSERT_EQUAL(GeneratedText(4), streamed->streamed);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), streamed->Last());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.EngineCalls());
  }

  void KeyStateIsToldToItsWorkspace() {
    test_lane t;
    t.Start();
    const auto sent = t.Run("billed", kKeyAsStream);
    t.Await(sent);
    const auto own =
        t.Call("GET", "/v1/workspaces/shop/requests?key=k1", {}, "");
    const auto other = t.Call("GET", "/v1/workspaces/locked/requests?key=k1",
                              {{"Authorization", "Bearer secret"}}, "");
    const auto stranger =
        t.Call("GET", "/v1/workspaces/locked/requests?key=k1", {}, "");
    t.Await(own);
    t.Await(other);
    CPPUNIT_ASSERT_EQUAL(std::string("ended"), own->Json().value("state", ""));
    const auto outcome =
        nlohmann::json::parse(own->Json().value("body", std::string()));
    CPPUNIT_ASSERT_EQUAL(GeneratedText(4), outcome.value("answer", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), other->Json().value("state", ""));
    t.AwaitProblem(stranger, error_kind::kUnauthorized, "no");
  }

  void UnclaimedRequestIsNotRun() {
    // Nothing is sent, yet the caller is not told "not run": an earlier sending
    // of the key may have run on a host that was killed since, and this one
    // could not ask. "No" would invite a new key, and a second letter.
    test_lane t;
    t.guard.available = false;
    t.Start();
    t.AwaitProblem(t.Run("billed", kKey), error_kind::kClaimUnavailable,
                   "maybe");
    CPPUNIT_ASSERT(t.encoder.Calls().empty());
  }

  void LapsedClaimSendsNothing() {
    // The caller is told "not run", and that is true: between the claim and
    // the engine's turn this host was paused, and its claim is no longer safe.
    test_lane t;
    t.guard.dispatch_allowed = false;
    t.Start();
    t.AwaitProblem(t.Run("billed", kKey), error_kind::kClaimUnavailable, "no");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.encoder.Calls().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, t.EngineCalls());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.guard.released.size());
    CPPUNIT_ASSERT(t.lane->InFlight().empty() ||
                   t.lane->InFlight().begin()->second == 0);
  }

  void RefusalThatProvesNotRunFreesTheKey() {
    test_lane t;
    t.letters.Act(Refuse(503, {{"X-Not-Run", "1"}}));
    t.Start();
    t.AwaitProblem(SendLetter(t, kKey), error_kind::kOverloaded, "no");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.guard.released.size());
    CPPUNIT_ASSERT(t.guard.ended.empty());
  }

  void UnprovenRefusalIsNeverSentAgain() {
    // The caller is told that the draft may have been billed. The engine says
    // 503 without proving that it did not run it, so no other engine may be
    // asked, though one is idle.
    test_lane t;
    t.BothEngines(Refuse(503, {}));
    t.Start();
    const auto problem = t.AwaitProblem(t.Run("billed", kKey),
                                        error_kind::kOutcomeUnknown, "maybe");
    CPPUNIT_ASSERT(!problem.value("retry_is_safe", true));
    CPPUNIT_ASSERT(t.engine_a.Calls().empty() || t.engine_b.Calls().empty());
    CPPUNIT_ASSERT_EQUAL(504, t.guard.ended.at("shop/k1").status);
  }

  void LetterWithoutAnAnswerIsUnknown() {
    test_lane t;
    t.letters.Act([&t](const seen_call&, const http_responder_ptr& answer) {
      CutLater(t.context, answer);
    });
    t.Start();
    t.AwaitProblem(SendLetter(t, kKey), error_kind::kOutcomeUnknown, "maybe");
    t.AwaitProblem(SendLetter(t, kKey), error_kind::kOutcomeUnknown, "maybe");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.letters.Calls().size());
  }

  void FailureAfterTheLetterSaysThatItRan() {
    // The caller is told "yes": the letter was sent, then a later stage failed
    // for good. Told "maybe" or "no", it would send the letter again.
    test_lane t;
    t.encoder.Act(Refuse(400, {}));
    t.Start();
    const auto problem =
        t.AwaitProblem(t.Run("send", kKey), error_kind::kStageFailed, "yes");
    CPPUNIT_ASSERT(!problem.value("retry_is_safe", true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.letters.Calls().size());
    CPPUNIT_ASSERT_EQUAL(502, t.guard.ended.at("shop/k1").status);
  }

  void CutBilledStreamIsResumedNotRunAgain() {
    test_lane t;
    t.BothEngines(CutOnce(t.context, 0, 4));
    t.Start();
    const auto answer = t.Run("billed", kKey);
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(GeneratedText(4), answer->Json().value("answer", ""));
    CPPUNIT_ASSERT(t.engine_a.Calls().empty() || t.engine_b.Calls().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, t.Count(lane_event::kResume));
  }

  void BilledAnswerLostAgainAndAgainIsFetched() {
    // The caller gets its draft, billed once. The engine runs it and drops the
    // connection before the first token, and again at three resuming calls:
    // giving up there would only make a known outcome unknown.
    test_lane t;
    const auto drops_left = std::make_shared<int>(4);
    t.BothEngines(
        [drops_left](const seen_call& call, const http_responder_ptr& answer) {
          if (*drops_left > 0) {
            --*drops_left;
            return answer->Abort();
          }
          Engine(4)(call, answer);
        });
    t.Start();
    const auto answer = t.Run("billed", kKey);
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(200, answer->result.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, t.EngineCalls());
    const auto& engine = t.engine_a.Calls().empty() ? t.engine_b : t.engine_a;
    for (std::size_t i = 1; i < engine.Calls().size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(engine.Calls()[0].attempt,
                           engine.Calls()[i].body.value("resume", ""));
    }
  }

  void LostBilledStreamIsUnknown() {
    // The engine's 410 proves that the resuming call ran nothing. It says
    // nothing of the call before it, so the caller must not be told "no".
    test_lane t;
    t.BothEngines(
        [&t](const seen_call& call, const http_responder_ptr& answer) {
          if (call.body.contains("resume")) {
            return answer->Send(410, {{"X-Not-Run", "1"}}, "");
          }
          CutLater(t.context, answer);
        });
    t.Start();
    t.AwaitProblem(t.Run("billed", kKey), error_kind::kOutcomeUnknown, "maybe");
    CPPUNIT_ASSERT(t.engine_a.Calls().empty() || t.engine_b.Calls().empty());
  }

  void ClosedCallerLeavesASentRequestRunning() {
    // The caller's connection breaks after its letter went out. It asks later
    // by its key and learns that the letter was sent.
    test_lane t;
    t.letters.Act(Hang(t.held));
    t.Start();
    SendLetter(t, kKey);
    t.Until([&] { return t.held.size() == 1; });
    t.caller.Cancel(t.last_call);
    for (int i = 0; i < 20; ++i) {
      t.context.run_one_for(milliseconds(5));
      t.context.restart();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.lane->InHand());
    t.held[0]->Send(200, {{"X-Attempt-Id", t.letters.Calls()[0].attempt}},
                    "sent");
    t.Until([&] { return t.lane->InHand() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::string("sent"), t.guard.ended.at("shop/k1").body);
  }

  void ClosedCallerFreesAnUnsentRequest() {
    test_lane t;
    t.encoder.Act(Hang(t.held));
    t.Start();
    t.Run("billed", kKey);
    t.Until([&] { return t.held.size() == 1; });
    t.caller.Cancel(t.last_call);
    t.Until([&] { return t.lane->InHand() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.guard.released.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, t.EngineCalls());
  }

  void ClaimWonTooLateIsGivenBack() {
    // The log answers after the caller's deadline: nothing is run for a caller
    // who is gone, and the key is free for its next sending.
    test_lane t;
    t.guard.silent = true;
    t.Start();
    auto headers = kKey;
    headers.push_back({"X-Deadline-Ms", "60"});
    t.AwaitProblem(t.Run("billed", headers), error_kind::kRequestInProgress,
                   "maybe");
    claim_decision won;
    won.verdict = claim_verdict::kRun;
    t.guard.kept(won);
    t.Until([&] { return t.guard.released.size() == 1; });
    CPPUNIT_ASSERT(t.encoder.Calls().empty());
  }

  void VerdictsMayComeOnAnyThread() {
    test_lane t;
    t.guard.on_thread = true;
    t.Start();
    const auto answer = t.Run("billed", kKey);
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(200, answer->result.status);
    const auto state =
        t.Call("GET", "/v1/workspaces/shop/requests?key=k1", {}, "");
    t.Await(state);
    CPPUNIT_ASSERT_EQUAL(std::string("ended"),
                         state->Json().value("state", ""));
  }

  void DeadlineOfASentRequestIsUnknown() {
    test_lane t;
    t.letters.Act(Hang(t.held));
    t.Start();
    auto headers = kKey;
    // Long enough that a loaded machine sends the letter before it ends.
    headers.push_back({"X-Deadline-Ms", "1000"});
    t.AwaitProblem(SendLetter(t, headers), error_kind::kOutcomeUnknown,
                   "maybe");
    t.Until([&] { return t.letters.Closed() == 1; });
    CPPUNIT_ASSERT_EQUAL(504, t.guard.ended.at("shop/k1").status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keyed_request_test);

}  // namespace
}  // namespace slatestall
