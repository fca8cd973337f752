#include "slatestall/policy/replay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace slatestall {
namespace {

const char* const kHead =
    R"({"type":"trace","format":1,"name":"small","seed":5})"
    "\n"
    R"({"type":"configuration","revision":1,"source":"services:\n  encoders: {kind: encoder, from: host-list}\n  letters: {kind: plain, from: host-list, repeatable: false}\n  engines: {kind: engine, from: host-list, slots: 2}\nmodels:\n  m: {version: 1}\npipelines:\n  reply:\n    deadline: 1s\n    stages:\n      - {name: encode, service: encoders}\n      - {name: again, service: encoders}\n      - {name: write, service: engines, model: m, max_tokens: 8}\nworkspaces:\n  ws: {routes: [reply]}\n"})"
    "\n"
    R"({"type":"hosts","hosts":[{"name":"entry-1","failure_domain":"a"}]})"
    "\n"
    R"({"type":"endpoint_model","service":"encoders","slots":4})"
    "\n"
    R"({"type":"endpoint_model","service":"engines","slots":2,"prefill_share":0.2})"
    "\n"
    R"({"type":"endpoint","service":"encoders","address":"e-1","failure_domain":"a"})"
    "\n"
    R"({"type":"endpoint","service":"encoders","address":"e-2","failure_domain":"b"})"
    "\n"
    R"({"type":"endpoint","service":"engines","address":"m-1","failure_domain":"a","models":["m@1"]})"
    "\n"
    R"({"type":"endpoint","service":"engines","address":"m-2","failure_domain":"b","models":["m@1"]})"
    "\n";

std::string Arrivals(int count, int every_ms) {
  std::ostringstream lines;
  for (int i = 0; i < count; ++i) {
    lines << R"({"arrival":)" << i * every_ms
          << R"(,"host":0,"pipeline":"reply","workspace":"ws","work":[3,4,80]})"
          << "\n";
  }
  return lines.str();
}

trace Read(const std::string& text) {
  std::istringstream in(text);
  return ReadTrace(in);
}

class replay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replay_test);
  CPPUNIT_TEST(RepeatsEveryDecision);
  CPPUNIT_TEST(AnswersWhileOneDomainIsSilent);
  CPPUNIT_TEST(NamesTheFirstDifference);
  CPPUNIT_TEST(NamesTheLineThatIsWrong);
  CPPUNIT_TEST(ExampleTracesEndAsStated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RepeatsEveryDecision() {
    const trace read = Read(kHead + Arrivals(60, 10));
    const replay_result first = Replay(read, {});
    const replay_result second = Replay(read, {});
    CPPUNIT_ASSERT_EQUAL(first.decisions, second.decisions);
    CPPUNIT_ASSERT(first.Measures() == second.Measures());
    const trace shorter = Read(kHead + Arrivals(59, 10));
    CPPUNIT_ASSERT(Replay(shorter, {}).decisions != first.decisions);
  }

  // Half of the endpoints stop being reachable for a second. Calls in flight
  // there are never answered, new ones find no connection; callers must still
  // get their answers from the other half, late ones excepted.
  void AnswersWhileOneDomainIsSilent() {
    const trace read =
        Read(kHead +
             std::string(R"({"type":"fault","kind":"silent","from_ms":500,)"
                         R"("until_ms":1500,"failure_domain":"b"})") +
             "\n" + Arrivals(60, 50));
    const replay_result result = Replay(read, {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.lost);
    CPPUNIT_ASSERT(result.classes.at("interactive").Attainment() > 0.9);
    CPPUNIT_ASSERT(result.retries > 0);
  }

  void NamesTheFirstDifference() {
    const trace read =
        Read(kHead + Arrivals(5, 100) +
             R"({"type":"outcome","name":"lost","at_most":0})"
             "\n"
             R"({"type":"outcome","name":"interactive.p99_ms","at_most":1})"
             "\n");
    const std::string difference = FirstDifference(read, Replay(read, {}));
    CPPUNIT_ASSERT(difference.find("line 16: interactive.p99_ms is ") == 0);
    CPPUNIT_ASSERT(difference.find("stated at most 1") != std::string::npos);
  }

  void NamesTheLineThatIsWrong() {
    try {
      Read(kHead + std::string(R"({"type":"fault","kind":"gremlin",)"
                               R"("from_ms":0,"until_ms":1})"));
      CPPUNIT_FAIL("a wrong line was taken");
    } catch (const trace_error& problem) {
      CPPUNIT_ASSERT_EQUAL(std::string("line 10: unknown fault \"gremlin\""),
                           std::string(problem.what()));
    }
  }

  void ExampleTracesEndAsStated() {
    std::vector<std::string> paths;
    for (const auto& entry : std::filesystem::directory_iterator(
             SLATESTALL_SOURCE_DIR "/examples/traces")) {
      if (entry.path().extension() == ".jsonl") {
        paths.push_back(entry.path());
      }
    }
    std::sort(paths.begin(), paths.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, paths.size());
    std::ostringstream out;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(out.str(), 0, RunReplay(paths, out));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replay_test);

}  // namespace
}  // namespace slatestall
