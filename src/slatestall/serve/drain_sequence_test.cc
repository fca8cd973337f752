#include "slatestall/serve/drain_sequence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace slatestall {
namespace {

class drain_sequence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(drain_sequence_test);
  CPPUNIT_TEST(NoRequestInHandIsCut);
  CPPUNIT_TEST(ARequestThatNeverEndsDoesNotHoldTheProcess);
  CPPUNIT_TEST(ALostHandOverDoesNotHoldTheProcess);
  CPPUNIT_TEST(ASecondSignalChangesNothing);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context context_;
  std::vector<std::string> steps_;
  std::size_t in_hand_ = 0;
  std::size_t asked_ = 0;

  drain_hooks Hooks() {
    drain_hooks hooks;
    hooks.announce = [this] { steps_.emplace_back("announce"); };
    hooks.stop_accepting = [this] { steps_.emplace_back("stop"); };
    hooks.in_hand = [this] {
      ++asked_;
      return in_hand_ > 0 ? in_hand_-- : 0;
    };
    hooks.hand_over = [this](const std::function<void()>& done) {
      steps_.emplace_back("hand over");
      done();
    };
    hooks.finished = [this] { steps_.emplace_back("finished"); };
    return hooks;
  }

  static drain_options Short() {
    return {milliseconds{1}, milliseconds{60'000}, milliseconds{60'000}};
  }

 public:
  // A host is replaced while requests run. Readiness fails first, then new
  // requests are refused, and the process ends only after the last answer.
  void NoRequestInHandIsCut() {
    in_hand_ = 3;
    drain_sequence drain(context_, Hooks());
    drain.Begin(Short());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, steps_.size());
    context_.run();
    CPPUNIT_ASSERT(
        (steps_ == std::vector<std::string>{"announce", "stop", "hand over",
                                            "finished"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, asked_);
  }

  // A request hangs past every deadline through a fault of ours. The platform
  // replaces the host anyway, so the process goes after the longest deadline.
  void ARequestThatNeverEndsDoesNotHoldTheProcess() {
    auto hooks = Hooks();
    hooks.in_hand = [] { return std::size_t{1}; };
    drain_sequence drain(context_, hooks);
    auto options = Short();
    options.longest_request = milliseconds{1};
    drain.Begin(options);
    context_.run();
    CPPUNIT_ASSERT_EQUAL(std::string("finished"), steps_.back());
  }

  // Every peer is unreachable while this host goes: nobody takes its keys and
  // the hand-over never reports back.
  void ALostHandOverDoesNotHoldTheProcess() {
    auto hooks = Hooks();
    hooks.hand_over = [](const auto&) {};
    drain_sequence drain(context_, hooks);
    auto options = Short();
    options.hand_over_timeout = milliseconds{1};
    drain.Begin(options);
    context_.run();
    CPPUNIT_ASSERT_EQUAL(std::string("finished"), steps_.back());
  }

  void ASecondSignalChangesNothing() {
    drain_sequence drain(context_, Hooks());
    drain.Begin(Short());
    drain.Begin(Short());
    context_.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, steps_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_sequence_test);

}  // namespace
}  // namespace slatestall
