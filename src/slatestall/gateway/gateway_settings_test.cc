#include "slatestall/gateway/gateway_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <string>

namespace slatestall {
namespace {

const std::string kGood =
    "host_name: \"h1\"\nfailure_domain: \"d\"\n"
    "front_listen: \"127.0.0.1:81\"\nstatus_listen: \"127.0.0.1:82\"\n"
    "peer_listen: \"127.0.0.1:83\"\nstore_address: \"127.0.0.1:84\"\n"
    "seeds: \"a:1,b:2\"\nprocessor_share: 0.25\nlink_mbps: 50.0\n"
    "leave_limit_ms: 1500\nrepeat_reserve: 50\n";

class gateway_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_settings_test);
  CPPUNIT_TEST(AGoodFileIsRead);
  CPPUNIT_TEST(EveryMistakeIsToldWithItsPlace);
  CPPUNIT_TEST(AMissingFileIsSaid);
  CPPUNIT_TEST(TheTemplateNamesOnlyKnownFields);
  CPPUNIT_TEST(ThePageHoldsEveryFieldAsItIs);
  CPPUNIT_TEST_SUITE_END();

  void AGoodFileIsRead() {
    const auto loaded = ReadGatewaySettings(kGood, "f");
    CPPUNIT_ASSERT(loaded.problems.empty());
    const auto& options = loaded.content;
    CPPUNIT_ASSERT_EQUAL(std::string("h1"), options.host_name);
    CPPUNIT_ASSERT_EQUAL(81, static_cast<int>(options.front_port));
    CPPUNIT_ASSERT_EQUAL(83, static_cast<int>(options.peer_port));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, options.seeds.size());
    CPPUNIT_ASSERT(options.leave_limit == milliseconds(1500));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.125, options.Weight(), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, options.repeats.reserve, 1e-9);
  }

  void EveryMistakeIsToldWithItsPlace() {
    const auto loaded = ReadGatewaySettings(
        "host_name: \"h\"\nfront_listen: nowhere\nfront_lissen: \"a:1\"\n"
        "leave_limit_ms: soon\n",
        "file.yaml");
    CPPUNIT_ASSERT(loaded.problems.size() >= 5);
    bool misspelt = false;
    for (const auto& problem : loaded.problems) {
      CPPUNIT_ASSERT_EQUAL(std::string("file.yaml"), problem.file);
      misspelt =
          misspelt || (problem.line == 3 && problem.path == "front_lissen");
    }
    CPPUNIT_ASSERT(misspelt);
  }

  void AMissingFileIsSaid() {
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        LoadGatewaySettings("/nonexistent/settings.yaml").problems.size());
  }

  void ThePageHoldsEveryFieldAsItIs() {
    std::ifstream file(std::string(SLATESTALL_SOURCE_DIR) +
                       "/docs/GATEWAY_SETTINGS.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    const std::string wanted = MarkdownTable(GatewaySettingsReference());
    CPPUNIT_ASSERT_MESSAGE("docs/GATEWAY_SETTINGS.md lacks:\n" + wanted,
                           page.find(wanted) != std::string::npos);
  }

  // The template is filled in by the platform at every start; a field that the
  // program does not know would keep all hosts from starting.
  void TheTemplateNamesOnlyKnownFields() {
    std::ifstream file(std::string(SLATESTALL_SOURCE_DIR) +
                       "/deploy/settings.yaml");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    CPPUNIT_ASSERT(!text.empty());
    for (auto open = text.find("{{"); open != std::string::npos;
         open = text.find("{{")) {
      const auto close = text.find("}}", open);
      const auto name = text.substr(open + 2, close - open - 2);
      const bool is_address =
          name.find("listen") != std::string::npos || name == "platform.addr";
      const std::string value =
          name == "ip"     ? "10.0.0.1"
          : is_address     ? "10.0.0.1:80"
          : name == "node" ? "host-1"
          : name == "zone" ? "domain-1"
          : name == "bounds.retryRatio" || name == "limits.cpuShare" ? "0.2"
                                                                     : "100";
      text.replace(open, close + 2 - open, value);
    }
    const auto loaded = ReadGatewaySettings(text, "settings.yaml");
    for (const auto& problem : loaded.problems) {
      CPPUNIT_FAIL(Describe(problem));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

}  // namespace
}  // namespace slatestall
