#include "slatestall/config/pipeline_file.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "slatestall/config/problem_check.h"

namespace slatestall {
namespace {

const char* const kGood = R"(services:
  engines: {kind: engine, from: host-list}
  encoders: {kind: encoder, from: host-list}
  retrievers:
    kind: retriever
    endpoints:
      - {address: 10.0.0.1:8000, failure_domain: a}
      - {address: "[::1]:8000", failure_domain: b}
  rerankers: {kind: reranker, from: host-list}
  billing: {kind: plain, from: host-list, repeatable: false}
models:
  faq-7b: {version: 1, adapters: [tone], replicas: 3}
pipelines:
  draft:
    deadline: 1.5s
    priority: batch
    billed: true
    stages:
      - {name: encode, service: encoders}
      - {name: retrieve, service: retrievers, top_k: 8}
      - {name: write, service: engines, model: faq-7b, adapter: tone, max_tokens: 64}
workspaces:
  shop:
    limits: {requests_per_second: 2.5}
    routes: [draft, billing]
)";

std::string FileText(const std::string& name) {
  std::ifstream stream(std::string(SLATESTALL_SOURCE_DIR "/") + name);
  CPPUNIT_ASSERT_MESSAGE(name, stream.is_open());
  return {std::istreambuf_iterator<char>(stream), {}};
}

// `kGood` with the first `from` replaced by `to`.
std::string Changed(const std::string& from, const std::string& to) {
  std::string text = kGood;
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string Problems(const std::string& text) {
  std::string all;
  for (const config_problem& problem : ParseConfiguration(text, "f").problems) {
    all += Describe(problem) + "\n";
  }
  return all;
}

void ExpectProblem(const std::string& expected, const std::string& from,
                   const std::string& to) {
  CPPUNIT_ASSERT_EQUAL(expected + "\n", Problems(Changed(from, to)));
}

class pipeline_file_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pipeline_file_test);
  CPPUNIT_TEST(ReadsEveryField);
  CPPUNIT_TEST(ExamplesParseCleanly);
  CPPUNIT_TEST(NamesPlaceAndFieldOfWrongValues);
  CPPUNIT_TEST(NamesMissingAndUnknownFields);
  CPPUNIT_TEST(ChecksReferences);
  CPPUNIT_TEST(ChecksDuplicates);
  CPPUNIT_TEST(ChecksStages);
  CPPUNIT_TEST(ReportsEveryProblemInOneRun);
  CPPUNIT_TEST(WrongValueIsToldOnce);
  CPPUNIT_TEST(RefusesWhatIsNotYaml);
  CPPUNIT_TEST(RefusesOversizeAndAliasBombs);
  CPPUNIT_TEST(NeverThrowsOnDamagedFiles);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEveryField() {
    const parsed_configuration parsed = ParseConfiguration(kGood, "f");
    CPPUNIT_ASSERT_EQUAL(std::string(), Problems(kGood));
    const service_config& pool = parsed.content.services.at("retrievers");
    CPPUNIT_ASSERT(pool.kind == service_kind::kRetriever);
    CPPUNIT_ASSERT(!pool.from_host_list);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.endpoints.size());
    CPPUNIT_ASSERT(pool.endpoints[0] == (endpoint{"10.0.0.1:8000", "a"}));
    CPPUNIT_ASSERT(!parsed.content.services.at("billing").repeatable);
    const pipeline_config& draft = parsed.content.pipelines.at("draft");
    CPPUNIT_ASSERT(draft.deadline == milliseconds(1500));
    CPPUNIT_ASSERT(draft.priority == priority_class::kBatch);
    CPPUNIT_ASSERT(draft.billed);
    CPPUNIT_ASSERT_EQUAL(std::string("tone"), draft.stages[2].adapter);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, draft.stages[1].top_k);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         parsed.content.models.at("faq-7b").version);
    const workspace_config& shop = parsed.content.workspaces.at("shop");
    CPPUNIT_ASSERT_EQUAL(2.5, shop.limits.requests_per_second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shop.routes.size());
  }

  void ExamplesParseCleanly() {
    for (const char* name :
         {"examples/shelfwise.yaml", "examples/vanua.yaml"}) {
      const parsed_configuration parsed =
          ParseConfiguration(FileText(name), name);
      for (const config_problem& problem : parsed.problems) {
        CPPUNIT_FAIL(Describe(problem));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, parsed.content.workspaces.size());
      CPPUNIT_ASSERT(parsed.content.pipelines.at("chat-reply").priority ==
                     priority_class::kInteractive);
    }
  }

  void NamesPlaceAndFieldOfWrongValues() {
    ExpectProblem(
        "f:15:15: pipelines.draft.deadline: '6' has no unit: write 6s or 6ms",
        "1.5s", "6");
    ExpectProblem(
        "f:15:15: pipelines.draft.deadline: unknown unit 'sec'; durations are "
        "in ms, s, min or h",
        "1.5s", "1sec");
    ExpectProblem(
        "f:15:15: pipelines.draft.deadline: 61s is out of range: 1ms to 60s",
        "1.5s", "61s");
    ExpectProblem(
        "f:16:15: pipelines.draft.priority: expected one of interactive, "
        "batch, found 'bach'; did you mean 'batch'?",
        "batch", "bach");
    ExpectProblem(
        "f:17:13: pipelines.draft.billed: expected true or false, found 'yes'",
        "billed: true", "billed: yes");
    ExpectProblem(
        "f:12:52: models.faq-7b.replicas: expected a whole number, found '3' "
        "in quotes",
        "replicas: 3", "replicas: \"3\"");
    ExpectProblem(
        "f:12:52: models.faq-7b.replicas: -1 is out of range: 1 to 10000",
        "replicas: 3", "replicas: -1");
    ExpectProblem(
        "f:7:19: services.retrievers.endpoints[0].address: expected IP:port "
        "such as 10.0.0.7:8000, found 'localhost:80'",
        "10.0.0.1:8000", "localhost:80");
    ExpectProblem(
        "f:25:13: workspaces.shop.routes: expected a list of names, found "
        "'draft'",
        "[draft, billing]", "draft");
  }

  void NamesMissingAndUnknownFields() {
    ExpectProblem(
        "f:15:5: pipelines.draft.dedline: unknown field; did you mean "
        "'deadline'?",
        "deadline", "dedline");
    ExpectProblem(
        "f:10:3: services.billing.kind: missing: this field is required",
        "kind: plain, ", "");
    ExpectProblem(
        "f:3:3: services.encoders.endpoints: no endpoints: list them or write "
        "'from: host-list'",
        "kind: encoder, from: host-list", "kind: encoder");
    CPPUNIT_ASSERT_EQUAL(
        std::string("f:1:1: services: missing: this field is required\n"
                    "f:1:1: workspaces: missing: this field is required\n"),
        Problems("models: {}\n"));
  }

  void ChecksReferences() {
    ExpectProblem(
        "f:19:33: pipelines.draft.stages[0].service: no service is called "
        "'encoder'; did you mean 'encoders'?",
        "service: encoders", "service: encoder");
    ExpectProblem(
        "f:21:48: pipelines.draft.stages[2].model: no model is called "
        "'faq-8b'; did you mean 'faq-7b'?",
        "model: faq-7b", "model: faq-8b");
    ExpectProblem(
        "f:25:14: workspaces.shop.routes[0]: no pipeline or service is called "
        "'drafts'; did you mean 'draft'?",
        "[draft, billing]", "[drafts, billing]");
    ExpectProblem(
        "f:25:21: workspaces.shop.routes[1]: the service 'engines' is of kind "
        "engine; only plain services are called directly",
        "[draft, billing]", "[draft, engines]");
  }

  void ChecksDuplicates() {
    ExpectProblem(
        "f:3:3: services.engines: duplicate name 'engines', first on line 2",
        "  encoders: {kind: encoder, from: host-list}\n",
        "  engines: {kind: encoder, from: host-list}\n"
        "  encoders: {kind: encoder, from: host-list}\n");
    ExpectProblem(
        "f:8:19: services.retrievers.endpoints[1].address: duplicate address "
        "'10.0.0.1:8000', first at services.retrievers.endpoints[0].address",
        "\"[::1]:8000\"", "10.0.0.1:8000");
    ExpectProblem(
        "f:20:16: pipelines.draft.stages[1].name: duplicate name 'encode', "
        "first in stage 0",
        "name: retrieve", "name: encode");
    ExpectProblem(
        "f:25:21: workspaces.shop.routes[1]: 'draft' stands twice in the list",
        "[draft, billing]", "[draft, draft]");
  }

  void ChecksStages() {
    ExpectProblem(
        "f:18:5: pipelines.draft.stages: has 2 stages; a pipeline has 3 to 6",
        "      - {name: encode, service: encoders}\n"
        "      - {name: retrieve, service: retrievers, top_k: 8}\n",
        "      - {name: encode, service: encoders}\n");
    ExpectProblem(
        "f:20:35: pipelines.draft.stages[1].service: needs documents and no "
        "stage before it runs on a service of kind retriever",
        "service: retrievers", "service: rerankers");
    ExpectProblem(
        "f:19:50: pipelines.draft.stages[0].top_k: a stage of kind encoder "
        "takes no such field",
        "service: encoders}", "service: encoders, top_k: 3}");
    // A pipeline that is not billed takes requests without a key, so a stage
    // that may not be repeated could run twice for one request.
    std::string text = Changed("billed: true", "billed: false");
    text.replace(text.find("kind: encoder"), 13,
                 "repeatable: false, kind: encoder");
    CPPUNIT_ASSERT_EQUAL(
        std::string("f:19:33: pipelines.draft.stages[0].service: calls to "
                    "'encoders' may not be repeated, so the pipeline must be "
                    "marked 'billed: true'\n"),
        Problems(text));
  }

  void ReportsEveryProblemInOneRun() {
    const std::string text = R"(services:
  engines: {kind: engin, from: host-list}
  engines: {kind: engine}
pipelines:
  p:
    deadline: 90s
    stages: []
    colour: red
workspaces:
  w: {routes: [q], weight: heavy}
)";
    CPPUNIT_ASSERT_EQUAL(std::size_t{7},
                         ParseConfiguration(text, "f").problems.size());
  }

  void WrongValueIsToldOnce() {
    ExpectProblem(
        "f:2:19: services.engines.kind: expected one of engine, encoder, "
        "retriever, reranker, plain, found 'motor'",
        "kind: engine", "kind: motor");
  }

  void RefusesWhatIsNotYaml() {
    CPPUNIT_ASSERT_EQUAL(std::string("f:2:7: YAML: illegal map value\n"),
                         Problems("services:\n  a: b: c\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("f:1:4: not valid UTF-8 text\n"),
                         Problems("a: \xff\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("f:1:1: expected a map, found a list\n"),
                         Problems("- a\n"));
    CPPUNIT_ASSERT(!ParseConfiguration("", "f").Ok());
    CPPUNIT_ASSERT(!ParseConfiguration("a: &x [*x]\n", "f").Ok());
    CPPUNIT_ASSERT(
        !ParseConfiguration(std::string(kGood) + "---\na: b\n", "f").Ok());
  }

  // A file of some hundred bytes whose aliases stand for 10^9 nodes would keep
  // every host that reads it busy for minutes: it is refused while it is read.
  void RefusesOversizeAndAliasBombs() {
    std::string bomb = "a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n";
    for (int i = 1; i < 9; ++i) {
      const std::string alias = "*a" + std::to_string(i - 1);
      bomb += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
      for (int n = 0; n < 10; ++n) {
        bomb += (n == 0 ? "" : ",") + alias;
      }
      bomb += "]\n";
    }
    CPPUNIT_ASSERT(Problems(bomb).find("aliases") != std::string::npos);
    const std::string large(std::size_t{1} << 20U, '#');
    CPPUNIT_ASSERT_EQUAL(
        std::string("f: the file has 1048577 bytes; the limit is 1048576\n"),
        Problems(large + "\n"));
  }

  void NeverThrowsOnDamagedFiles() {
    const bool holds =
        rc::check("a damaged file gives problems or a whole configuration", [] {
          std::string text = kGood;
          const auto cuts = *rc::gen::inRange(1, 4);
          for (int i = 0; i < cuts; ++i) {
            const auto size = static_cast<int>(text.size());
            const int at = *rc::gen::inRange(0, size);
            const int length = *rc::gen::inRange(0, 12);
            const auto put = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string(":{}[],&*!|>-# \n\"a1\xc3")));
            text.replace(static_cast<std::size_t>(at),
                         static_cast<std::size_t>(length), put);
          }
          const parsed_configuration parsed = ParseConfiguration(text, "f");
          RC_ASSERT(AllSayWhere(parsed.problems, "f"));
          if (parsed.Ok()) {
            RC_ASSERT(!parsed.content.workspaces.empty());
          }
        });
    CPPUNIT_ASSERT(holds);
    const parsed_configuration empty = ParseConfiguration("", "f");
    CPPUNIT_ASSERT(!empty.Ok());
    CPPUNIT_ASSERT(AllSayWhere(empty.problems, "f"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pipeline_file_test);

}  // namespace
}  // namespace slatestall
