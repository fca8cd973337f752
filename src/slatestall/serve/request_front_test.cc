#include <cppunit/extensions/HelperMacros.h>

#include "slatestall/serve/test_lane.h"

namespace slatestall {
namespace {

class request_front_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_front_test);
  CPPUNIT_TEST(WrongNamesAreNotFound);
  CPPUNIT_TEST(BadInputIsTold);
  CPPUNIT_TEST(OversizeBodyIsRefused);
  CPPUNIT_TEST(LockedWorkspaceNeedsItsKey);
  CPPUNIT_TEST(PlainServiceAnswersAsItIs);
  CPPUNIT_TEST(DrainsByReadinessFirst);
  CPPUNIT_TEST(WithoutConfigurationNothingIsReady);
  CPPUNIT_TEST(OperatorsPagesAreServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WrongNamesAreNotFound() {
    test_lane t;
    t.Start();
    const std::string body = R"({"input": "x"})";
    for (const char* path :
         {"/v1/workspaces/none/pipelines/draft",
          "/v1/workspaces/shop/pipelines/none",
          "/v1/workspaces/shop/services/draft",
          "/v1/workspaces/shop/pipelines/letters",
          "/v1/workspaces/locked/pipelines/billed", "/v1/workspaces/shop",
          "/v2/workspaces/shop/pipelines/draft", "/v1/admin/status"}) {
      const http_headers headers{{"Authorization", "Bearer secret"}};
      t.AwaitProblem(t.Call("POST", path, headers, body), error_kind::kNotFound,
                     "no");
    }
    CPPUNIT_ASSERT(t.encoder.Calls().empty());
  }

  void BadInputIsTold() {
    test_lane t;
    t.Start();
    for (const char* body :
         {"", "{", "[]", R"({"input": 3})", R"({"input": ""})",
          R"({"input": "x", "max_tokens": -1})", "{\"input\": \"\xff\"}"}) {
      t.AwaitProblem(t.Run("draft", {}, body), error_kind::kInvalidRequest,
                     "no");
    }
    for (const char* deadline : {"0", "-5", "soon", "5x"}) {
      t.AwaitProblem(t.Run("draft", {{"X-Deadline-Ms", deadline}}),
                     error_kind::kInvalidRequest, "no");
    }
    t.AwaitProblem(t.Run("draft", {{"Idempotency-Key", "a b"}}),
                   error_kind::kInvalidRequest, "no");
    CPPUNIT_ASSERT(t.encoder.Calls().empty());
  }

  void OversizeBodyIsRefused() {
    test_lane t;
    t.Start();
    const auto answer =
        t.Run("draft", {}, R"({"input": ")" + std::string(8000, 'x') + "\"}");
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(413, answer->result.status);
  }

  void LockedWorkspaceNeedsItsKey() {
    test_lane t;
    t.Start();
    const std::string path = "/v1/workspaces/locked/pipelines/draft";
    const std::string body = R"({"input": "x"})";
    for (const char* credentials : {"", "secret", "Bearer", "Bearer wrong"}) {
      t.AwaitProblem(
          t.Call("POST", path, {{"Authorization", credentials}}, body),
          error_kind::kUnauthorized, "no");
    }
    const auto answer =
        t.Call("POST", path, {{"Authorization", "Bearer secret"}}, body);
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(200, answer->result.status);
  }

  void PlainServiceAnswersAsItIs() {
    test_lane t;
    t.letters.Act([](const seen_call& call, const http_responder_ptr& answer) {
      answer->Send(404,
                   {{"X-Attempt-Id", call.attempt}, {"Content-Type", "text/x"}},
                   "no \xff such letter");
    });
    t.Start();
    const auto answer =
        t.Call("POST", "/v1/workspaces/shop/services/notes", {}, "raw \xfe");
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(404, answer->result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("no \xff such letter"),
                         answer->result.body);
    CPPUNIT_ASSERT_EQUAL(
        std::string("text/x"),
        std::string(FindHeader(answer->result.headers, "Content-Type")));
  }

  void DrainsByReadinessFirst() {
    // Callers see no failure while a host leaves: it first turns the balancer
    // away, still serves what comes meanwhile, and only then refuses.
    test_lane t;
    t.Start();
    const auto ready = t.Call("GET", "/readyz", {}, "");
    t.Await(ready);
    CPPUNIT_ASSERT_EQUAL(200, ready->result.status);
    t.lane->Drain();
    const auto draining = t.Call("GET", "/readyz", {}, "");
    const auto served = t.Run("draft");
    t.Await(draining);
    t.Await(served);
    CPPUNIT_ASSERT_EQUAL(503, draining->result.status);
    CPPUNIT_ASSERT_EQUAL(200, served->result.status);
    t.encoder.Act(Hang(t.held));
    const auto in_hand = t.Run("draft");
    t.Until([&] { return t.held.size() == 1; });
    t.lane->StopAccepting();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, t.lane->InHand());
    AnswerJson(t.encoder.Calls().back(), *t.held[0], {{"embedding", {1}}});
    t.Await(in_hand);
    CPPUNIT_ASSERT_EQUAL(200, in_hand->result.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, t.lane->InHand());
  }

  void WithoutConfigurationNothingIsReady() {
    test_lane t;
    t.Start();
    t.snapshots.Publish(std::make_shared<control_snapshot>());
    t.Until([&] {
      const auto ready = t.Call("GET", "/readyz", {}, "");
      t.Await(ready);
      return ready->result.status == 503;
    });
    t.AwaitProblem(t.Run("draft"), error_kind::kNoConfiguration, "no");
  }

  void OperatorsPagesAreServed() {
    test_lane t;
    t.hooks.admin = [](const http_request& request,
                       const http_responder_ptr& answer) {
      answer->Send(200, {}, "admin " + request.path);
    };
    t.Start();
    t.Await(t.Run("draft"));
    const auto metrics = t.Call("GET", "/metrics", {}, "");
    const auto admin = t.Call("GET", "/v1/admin/status", {}, "");
    t.Await(metrics);
    t.Await(admin);
    CPPUNIT_ASSERT(metrics->result.body.find("slatestall_requests_total 1\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("admin /v1/admin/status"),
                         admin->result.body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_front_test);

}  // namespace
}  // namespace slatestall
