#include "slatestall/gateway/settings_reload.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>

namespace slatestall {
namespace {

constexpr const char* kGood =
    "host_name: h\nfailure_domain: d\nfront_listen: 127.0.0.1:1\n"
    "status_listen: 127.0.0.1:2\nstore_address: 127.0.0.1:3\n";

class settings_reload_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_reload_test);
  CPPUNIT_TEST(WhatCanChangeNowIsInForce);
  CPPUNIT_TEST(WhatCannotIsNamedAndLeftAlone);
  CPPUNIT_TEST(ASignalReadsTheFile);
  CPPUNIT_TEST(AChangeWithoutASignalIsFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    file_ = (std::filesystem::temp_directory_path() /
             ("settings_reload_test." + std::to_string(::getpid())))
                .string();
    Write(kGood);
  }
  void tearDown() override { std::filesystem::remove(file_); }

 private:
  void Write(const std::string& text) const { std::ofstream(file_) << text; }

  void WhatCanChangeNowIsInForce() {
    gateway_options current;
    gateway_options loaded;
    loaded.seeds = {"10.0.0.1:1"};
    loaded.repeats.reserve = 7;
    const auto change = ApplyReload(loaded, current);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, change.applied.size());
    CPPUNIT_ASSERT(change.at_restart.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, current.seeds.size());
    CPPUNIT_ASSERT_EQUAL(7.0, current.repeats.reserve);
    CPPUNIT_ASSERT(ApplyReload(loaded, current).Empty());
  }

  // Half of a change in force would leave the host with an address that it
  // does not listen at.
  void WhatCannotIsNamedAndLeftAlone() {
    gateway_options current;
    gateway_options loaded;
    loaded.peer_port = 9;
    const auto change = ApplyReload(loaded, current);
    CPPUNIT_ASSERT_EQUAL(std::string("peer_listen"), change.at_restart.at(0));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, current.peer_port);
  }

  /// What the watch reads within ten seconds of `act`.
  std::optional<loaded_gateway_settings> ReadAfter(
      const std::function<void()>& act) {
    asio::io_context context;
    std::optional<loaded_gateway_settings> read;
    settings_watch watch(context, file_, [&](const auto& loaded) {
      read = loaded;
      context.stop();
    });
    act();
    context.run_for(std::chrono::seconds(10));
    return read;
  }

  // The operator's tool writes the file and signals the process, which ends by
  // default on that signal. A file that cannot be read is told with its line.
  void ASignalReadsTheFile() {
    const auto read = ReadAfter([] { std::raise(SIGHUP); });
    CPPUNIT_ASSERT(read && read->problems.empty());
    Write("host_name: h\nrepeat_ratio: many\n");
    const auto bad = ReadAfter([] { std::raise(SIGHUP); });
    CPPUNIT_ASSERT(bad && !bad->problems.empty());
  }

  void AChangeWithoutASignalIsFound() {
    const auto read = ReadAfter([this] {
      Write(std::string(kGood) + "repeat_reserve: 50\n");
      std::filesystem::last_write_time(
          file_,
          std::filesystem::last_write_time(file_) + std::chrono::seconds(1));
    });
    CPPUNIT_ASSERT(read && read->content.repeats.reserve > 0);
  }

  std::string file_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_reload_test);

}  // namespace
}  // namespace slatestall
