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
  CPPUNIT_TEST(TheReserveOfRepeatsHoldsForAnyNumberOfHosts);
  CPPUNIT_TEST(MechanismsAreSwitchedOffByName);
  CPPUNIT_TEST(AMissingFileIsSaid);
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
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, options.repeats.reserve, 1e-9);
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

  // Endpoints turn nearly everything away and 195 hosts repeat whatever they
  // may, none knowing of the others. The endpoints get repeats that the setting
  // forbids, on top of the load that made them turn away.
  void TheReserveOfRepeatsHoldsForAnyNumberOfHosts() {
    constexpr int kHosts = 195;
    constexpr int kReserve = 50;
    const time_point now{std::chrono::hours(1)};
    const auto loaded = ReadGatewaySettings(kGood, "f");
    int repeats = 0;
    for (int host = 0; host < kHosts; ++host) {
      repeat_allowance allowance(loaded.content.repeats);
      while (allowance.Take("s", now)) {
        ++repeats;
      }
    }
    CPPUNIT_ASSERT(repeats <= kReserve);
  }

  void MechanismsAreSwitchedOffByName() {
    const auto loaded = ReadGatewaySettings(
        kGood + "disabled_mechanisms: \"near_results,bookings\"\n", "f");
    CPPUNIT_ASSERT(loaded.problems.empty());
    CPPUNIT_ASSERT(!loaded.content.Uses(mechanism::kNearResults));
    CPPUNIT_ASSERT(!loaded.content.Uses(mechanism::kBookings));
    CPPUNIT_ASSERT(loaded.content.Uses(mechanism::kPromptHomes));
    const auto wrong = ReadGatewaySettings(
        kGood + "disabled_mechanisms: \"near_result\"\n", "f");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, wrong.problems.size());
    CPPUNIT_ASSERT_EQUAL(std::string("disabled_mechanisms"),
                         wrong.problems[0].path);
    CPPUNIT_ASSERT_EQUAL(12, static_cast<int>(wrong.problems[0].line));
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

}  // namespace
}  // namespace slatestall
