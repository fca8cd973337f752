#include "slatestall/relay/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace slatestall {
namespace {

constexpr std::size_t kBound = 1000;

class event_splitter_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_splitter_test);
  CPPUNIT_TEST(EventsComeWholeWhateverTheBordersOfReads);
  CPPUNIT_TEST(LinesMayEndInCarriageReturnAndLineFeed);
  CPPUNIT_TEST(TheRestOfABrokenEventIsHeldBack);
  CPPUNIT_TEST(AnEventIsBounded);
  CPPUNIT_TEST_SUITE_END();

  void EventsComeWholeWhateverTheBordersOfReads() {
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n";
    for (std::size_t border = 0; border <= stream.size(); ++border) {
      event_splitter splitter(kBound);
      auto events = splitter.Feed(stream.substr(0, border));
      for (auto& event : splitter.Feed(stream.substr(border))) {
        events.push_back(std::move(event));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
      CPPUNIT_ASSERT_EQUAL(stream, events[0].text + events[1].text);
      CPPUNIT_ASSERT(events[0].id == 1 && events[1].id == 2);
      CPPUNIT_ASSERT(!splitter.InsideEvent());
    }
  }

  void LinesMayEndInCarriageReturnAndLineFeed() {
    event_splitter splitter(kBound);
    const auto events = splitter.Feed("id: 7\r\ndata: a\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT(events[0].id == 7);
  }

  // An engine dies in the middle of an event; another goes on after the last
  // whole one. Were the half passed on, the caller would read one event made
  // of two runs.
  void TheRestOfABrokenEventIsHeldBack() {
    event_splitter splitter(kBound);
    const auto events = splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: ha");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT(splitter.InsideEvent());
  }

  void AnEventIsBounded() {
    event_splitter splitter(10);
    CPPUNIT_ASSERT(splitter.Feed("data: 0123456789").empty());
    CPPUNIT_ASSERT(splitter.Overflowed());
    CPPUNIT_ASSERT(splitter.Feed("\n\n").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_splitter_test);

}  // namespace
}  // namespace slatestall
