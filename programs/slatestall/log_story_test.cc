#include "slatestall/log_story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace slatestall {
namespace {

// Two hosts; "r1" was served by b, after one endpoint had broken off.
constexpr const char* kLogs =
    R"({"event":"started","host":"b","ms":100}
12.25 b {"event":"home_lost","host":"b","ms":4100,"home":"a"}
12.26 b {"event":"store_lost","host":"a","ms":4200,"reads":"endpoints"}
12.30 b {"event":"attempt_failed","host":"b","ms":5300,"request":"r1","endpoint":"i-1","detail":"broken off"}
12.30 b {"event":"attempt_failed","host":"b","ms":5301,"request":"r2","endpoint":"i-1","detail":"broken off"}
12.40 b {"event":"request_done","host":"b","ms":5400,"request":"r1","after_ms":400}
12.50 b {"event":"stopping","host":"b","ms":6000}
no json here
{"event":"cut sh
)";

class log_story_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_story_test);
  CPPUNIT_TEST(TheLinesOfARequestAreToldInOrder);
  CPPUNIT_TEST(ItsHostsTroublesMeanwhileAreTold);
  CPPUNIT_TEST(LogsMayComeInAnyOrder);
  CPPUNIT_TEST(AnUnknownRequestHasNoStory);
  CPPUNIT_TEST_SUITE_END();

  static log_story Story(const std::string& request,
                         const std::string& text = kLogs) {
    story_reader reader(request);
    std::istringstream log(text);
    reader.Read(log);
    return reader.Take();
  }

  void TheLinesOfARequestAreToldInOrder() {
    const auto story = Story("r1");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, story.arrived_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, story.lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"), story.lines[1].event);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         story.lines[1].fields["endpoint"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("request_done"), story.lines[2].event);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, story.unreadable);
  }

  // The home that its pieces waited at was lost 0.9 s before it came; another
  // host's store and its own stop afterwards have no part in it.
  void ItsHostsTroublesMeanwhileAreTold() {
    const auto story = Story("r1");
    CPPUNIT_ASSERT_EQUAL(std::string("home_lost"), story.lines[0].event);
    CPPUNIT_ASSERT(!story.lines[0].is_own);
    CPPUNIT_ASSERT(story.lines[1].is_own);
  }

  void LogsMayComeInAnyOrder() {
    story_reader reader("r");
    std::istringstream later(
        R"({"event":"request_done","host":"b","ms":9,"request":"r"})");
    std::istringstream earlier(
        R"({"event":"attempt_failed","host":"b","ms":5,"request":"r"})");
    reader.Read(later);
    reader.Read(earlier);
    CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"),
                         reader.Take().lines[0].event);
  }

  void AnUnknownRequestHasNoStory() {
    CPPUNIT_ASSERT(Story("r3").lines.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_story_test);

}  // namespace
}  // namespace slatestall
