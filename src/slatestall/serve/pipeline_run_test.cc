#include <cppunit/extensions/HelperMacros.h>

#include "slatestall/serve/test_lane.h"

namespace slatestall {
namespace {

const http_headers kAsStream{{"Accept", "text/event-stream"}};

class pipeline_run_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pipeline_run_test);
  CPPUNIT_TEST(AnswersWhole);
  CPPUNIT_TEST(StreamsTokensThenTheRest);
  CPPUNIT_TEST(FeedsEachStageFromTheOneBefore);
  CPPUNIT_TEST(FeedsAnEngineFromAnEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswersWhole() {
    test_lane t;
    t.Start();
    const auto answer = t.Run("draft");
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(200, answer->result.status);
    const auto json = answer->Json();
    CPPUNIT_ASSERT_EQUAL(GeneratedText(4), json.value("answer", ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, json["stages"].size());
    CPPUNIT_ASSERT_EQUAL(std::string("shelf"),
                         json["documents"][0].value("text", ""));
    CPPUNIT_ASSERT_EQUAL(4, json["cost"].value("generated_tokens", 0));
    CPPUNIT_ASSERT_EQUAL(0.0, json["cost"].value("wasted_endpoint_ms", -1.0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, t.lane->InHand());
    const auto trace =
        t.lane->Explain().Find(json.value("request_id", std::string()));
    CPPUNIT_ASSERT(trace != nullptr && trace->answered_in_full);
  }

  void StreamsTokensThenTheRest() {
    test_lane t;
    t.Start();
    const auto answer = t.Run("draft", kAsStream);
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(GeneratedText(4), answer->streamed);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), answer->Last());
    CPPUNIT_ASSERT(!answer->LastJson().contains("answer"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, answer->LastJson()["stages"].size());
  }

  void FeedsEachStageFromTheOneBefore() {
    test_lane t;
    t.Start();
    t.Await(t.Run("draft", {}, R"({"input": "hello", "max_tokens": 5})"));
    CPPUNIT_ASSERT_EQUAL(std::string("hello"),
                         t.encoder.Calls()[0].body.value("input", ""));
    CPPUNIT_ASSERT_EQUAL(
        1.0, t.retriever.Calls()[0].body["embedding"][1].get<double>());
    CPPUNIT_ASSERT_EQUAL(
        std::string("shelf"),
        t.reranker.Calls()[0].body["documents"][0].value("text", ""));
    const auto& engine = t.engine_a.Calls().empty() ? t.engine_b : t.engine_a;
    CPPUNIT_ASSERT_EQUAL(std::string("shelf\nhello"),
                         engine.Calls()[0].body.value("prompt", ""));
    CPPUNIT_ASSERT_EQUAL(5, engine.Calls()[0].body.value("max_tokens", 0));
  }

  void FeedsAnEngineFromAnEngine() {
    test_lane t;
    t.Start();
    const auto answer = t.Run("chain", kAsStream);
    t.Await(answer);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), answer->Last());
    CPPUNIT_ASSERT_EQUAL(GeneratedText(4), answer->streamed);
    CPPUNIT_ASSERT_EQUAL(GeneratedText(4),
                         t.encoder.Calls()[0].body.value("input", ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, t.EngineCalls());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pipeline_run_test);

}  // namespace
}  // namespace slatestall
