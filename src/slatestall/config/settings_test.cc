#include "slatestall/config/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "slatestall/config/problem_check.h"

namespace slatestall {
namespace {

// A settings file that lasts as long as the test.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text) {
    const int descriptor = mkstemp(path_.data());
    CPPUNIT_ASSERT(descriptor >= 0);
    close(descriptor);
    std::ofstream(path_) << text;
  }
  ~temporary_file() { unlink(path_.c_str()); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;

  const std::string& Path() const { return path_; }

 private:
  std::string path_ = "settings_test_XXXXXX";
};

const char* const kGood =
    "host_name: entry-1\n"
    "failure_domain: ikeja-a\n"
    "log_url: http://127.0.0.1:9000\n"
    "host_list_url: http://127.0.0.1:9001\n"
    "traffic_threads: 2\n";

std::string Problems(const loaded_settings& loaded) {
  std::string all;
  for (const config_problem& problem : loaded.problems) {
    all += Describe(problem) + "\n";
  }
  return all;
}

class settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(LaterSourcesOverrideEarlierOnes);
  CPPUNIT_TEST(NamesTheSourceOfEveryProblem);
  CPPUNIT_TEST(MissingSettingsSayHowToGiveThem);
  CPPUNIT_TEST(UnreadableFileIsAProblem);
  CPPUNIT_TEST(NeverThrowsOnDamagedFiles);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LaterSourcesOverrideEarlierOnes() {
    const temporary_file file(kGood);
    const loaded_settings loaded =
        LoadSettings({file.Path(),
                      {{"SLATESTALL_HOST_NAME", "entry-2"},
                       {"SLATESTALL_TRAFFIC_THREADS", "3"}},
                      {{"traffic_threads", "4"}}});
    CPPUNIT_ASSERT_EQUAL(std::string(), Problems(loaded));
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), loaded.content.host_name);
    CPPUNIT_ASSERT_EQUAL(std::string("ikeja-a"), loaded.content.failure_domain);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, loaded.content.traffic_threads);
    CPPUNIT_ASSERT_EQUAL(std::string("least-wait"), loaded.content.routing);
  }

  void NamesTheSourceOfEveryProblem() {
    const temporary_file file(std::string(kGood) + "log_levle: info\n");
    const loaded_settings loaded = LoadSettings(
        {file.Path(),
         {{"SLATESTALL_LISTEN", "here"}, {"SLATESTALL_HOSTNAME", "entry-2"}},
         {{"traffic_threads", "many"}}});
    CPPUNIT_ASSERT_EQUAL(
        file.Path() +
            ":6:1: log_levle: unknown field; did you mean 'log_level'?\n"
            "environment: SLATESTALL_LISTEN: expected IP:port such as "
            "10.0.0.7:8000, found 'here'\n"
            "environment: SLATESTALL_HOSTNAME: unknown variable; did you mean "
            "'SLATESTALL_HOST_NAME'?\n"
            "command line: --traffic-threads: expected a whole number, found "
            "'many'\n",
        Problems(loaded));
  }

  void MissingSettingsSayHowToGiveThem() {
    const loaded_settings loaded =
        LoadSettings({"", {}, {{"host_name", "entry-1"}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, loaded.problems.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("settings: log_url: missing: set it in the file, by "
                    "SLATESTALL_LOG_URL or by --log-url"),
        Describe(loaded.problems[1]));
  }

  void NeverThrowsOnDamagedFiles() {
    CPPUNIT_ASSERT(rc::check("a damaged file gives settings or problems", [] {
      std::string text = kGood;
      const auto size = static_cast<int>(text.size());
      const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, size));
      const auto length = static_cast<std::size_t>(*rc::gen::inRange(0, 40));
      text.replace(at, length,
                   *rc::gen::container<std::string>(rc::gen::elementOf(
                       std::string(":{}[],&*!|>-# \n\"a1\xc3"))));
      const temporary_file file(text);
      const loaded_settings loaded = LoadSettings({file.Path(), {}, {}});
      RC_ASSERT(AllSayWhere(loaded.problems, file.Path()));
      RC_ASSERT(!loaded.Ok() || !loaded.content.host_name.empty());
    }));
  }

  void UnreadableFileIsAProblem() {
    const loaded_settings loaded = LoadSettings({"no/such/file.yaml", {}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("no/such/file.yaml: cannot be read"),
                         Describe(loaded.problems.front()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

}  // namespace
}  // namespace slatestall
