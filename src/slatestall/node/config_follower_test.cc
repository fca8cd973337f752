#include "slatestall/node/config_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <optional>

namespace slatestall {
namespace {

class config_follower_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_follower_test);
  CPPUNIT_TEST(AnEmptyLogIsJudgedWithoutALongPoll);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An operator who publishes to a new site right after its hosts started was
  // told "the log cannot be judged now" for ten seconds: the first read of the
  // empty stream was a long poll, and until it ends no head is known. The
  // first read must therefore return at once; later ones may wait.
  void AnEmptyLogIsJudgedWithoutALongPoll() {
    asio::io_context context;
    std::optional<milliseconds> first_wait;
    log_service log;
    log.append = [](const std::string&, std::string,
                    const std::function<void(append_result)>&) {};
    log.read = [&](const std::string&, log_offset, milliseconds wait,
                   const std::function<void(read_result)>& done) {
      if (!first_wait) {
        first_wait = wait;
        read_result empty;
        empty.ok = true;
        done(empty);
      }
    };
    config_follower_hooks hooks;
    hooks.on_change = [] {};
    hooks.live_hosts = [] { return std::vector<std::string>{"entry-1"}; };
    hooks.wall_clock = [] { return std::int64_t{1'000}; };
    const check_configuration accept_all = [](const std::string&) {
      return std::optional(configuration{});
    };
    config_follower follower(
        context, {}, accept_all, log, [] { return time_point{}; }, hooks);
    follower.Start();
    context.poll();
    CPPUNIT_ASSERT(first_wait == milliseconds{0});
    CPPUNIT_ASSERT(follower.History().Head().has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_follower_test);

}  // namespace
}  // namespace slatestall
