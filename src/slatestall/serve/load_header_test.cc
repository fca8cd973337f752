#include "slatestall/serve/load_header.h"

#include <cppunit/extensions/HelperMacros.h>

#include "slatestall/serve/test_lane.h"

namespace slatestall {
namespace {

class load_header_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_header_test);
  CPPUNIT_TEST(ReadsThreeCountsAndNothingElse);
  CPPUNIT_TEST(AnAnswerTellsTheLoadOfItsEndpoint);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsThreeCountsAndNothingElse() {
    const auto load = LoadInHeader("3/17/8", time_point{});
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT_EQUAL(3U, load->running);
    CPPUNIT_ASSERT_EQUAL(17U, load->waiting);
    CPPUNIT_ASSERT_EQUAL(8U, load->slots);
    for (const auto* bad :
         {"", "3", "3/17", "3/17/", "3/17/8/1", "3/-1/8", " 3/17/8", "3/17/8 ",
          "9999999999/0/8", "1000001/0/8"}) {
      CPPUNIT_ASSERT(!LoadInHeader(bad, time_point{}));
    }
  }

  // The refusal of a full endpoint tells its load too, which is when it
  // matters most.
  void AnAnswerTellsTheLoadOfItsEndpoint() {
    test_lane t;
    std::vector<std::string> told;
    t.hooks.on_endpoint_told = [&told](const std::string& address,
                                       const told_load& load) {
      told.push_back(address + " " + std::to_string(load.waiting));
    };
    t.encoder.Act([](const seen_call&, const http_responder_ptr& answer) {
      answer->Send(429, {{"X-Not-Run", "1"}, {"X-Load", "8/64/8"}}, "");
    });
    t.Start();
    t.AwaitProblem(t.Run("draft"), error_kind::kOverloaded, "no");
    CPPUNIT_ASSERT(!told.empty());
    CPPUNIT_ASSERT_EQUAL(t.encoder.Address() + " 64", told[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_header_test);

}  // namespace
}  // namespace slatestall
