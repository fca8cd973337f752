#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "slatestall/http/sse_parser.h"
#include "slatestall/http/uri.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxEvent = 1000;

std::vector<std::string> Events(const std::vector<std::string>& pieces) {
  std::vector<std::string> events;
  sse_parser parser(kMaxEvent, [&](const sse_event& event) {
    events.push_back(event.type + "|" + event.data);
  });
  for (const std::string& piece : pieces) {
    parser.Feed(piece);
  }
  return events;
}

/// Line ends, fields and colons far more often than chance would give.
std::string Stream() {
  const auto parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("data:", "data: ", "event: e", "id: 1", ":",
                                    " ", "\n", "\r", "\r\n", "\n\n", "\r\r",
                                    "x", "\xEF\xBB\xBF", "retry"));
  std::string stream;
  for (const std::string& part : parts) {
    stream += part;
  }
  return stream;
}

class sse_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(sse_test);
  CPPUNIT_TEST(ReadsTheFormsOfAStream);
  CPPUNIT_TEST(BordersOfPiecesDoNotMatter);
  CPPUNIT_TEST(ReadsWhatIsWritten);
  CPPUNIT_TEST(BoundsAnEvent);
  CPPUNIT_TEST(FindsQueryValues);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsTheFormsOfAStream() {
    using events = std::vector<std::string>;
    CPPUNIT_ASSERT(Events({"data: a\ndata:b\n\n"}) == events{"|a\nb"});
    CPPUNIT_ASSERT(Events({"\xEF\xBB\xBF"
                           "data: a\r\n\r\n"}) == events{"|a"});
    CPPUNIT_ASSERT(Events({"event: e\rid: 7\rdata\r\r"}) == events{"e|"});
    CPPUNIT_ASSERT(Events({": note\n\nevent: e\n\ndata: a\n\n"}) ==
                   events{"|a"});
    CPPUNIT_ASSERT(Events({"data: a\n"}).empty());
  }

  void BordersOfPiecesDoNotMatter() {
    const bool holds = rc::check([] {
      const std::string stream = Stream();
      std::vector<std::string> pieces;
      for (std::size_t at = 0; at < stream.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 5);
        pieces.push_back(stream.substr(at, size));
        at += size;
      }
      RC_ASSERT(Events(pieces) == Events({stream}));
    });
    CPPUNIT_ASSERT(holds);
  }

  void ReadsWhatIsWritten() {
    const bool holds = rc::check([] {
      const auto data = *rc::gen::container<std::string>(
          rc::gen::element('a', ' ', ':', '\n', '\xE4'));
      RC_ASSERT(Events({SseEvent(data), SseEvent("next")}) ==
                (std::vector<std::string>{"|" + data, "|next"}));
    });
    CPPUNIT_ASSERT(holds);
    CPPUNIT_ASSERT(Events({SseEvent("a\r\nb\rc")}) ==
                   std::vector<std::string>{"|a\nb\nc"});
  }

  void BoundsAnEvent() {
    int events = 0;
    sse_parser parser(kMaxEvent, [&](const sse_event&) { ++events; });
    const std::string line = "data: " + std::string(100, 'a') + "\n";
    bool within = true;
    for (int i = 0; i < 20; ++i) {
      within = parser.Feed(line);
    }
    CPPUNIT_ASSERT(!within);
    CPPUNIT_ASSERT(!parser.Feed("\n\ndata: a\n\n"));
    CPPUNIT_ASSERT_EQUAL(0, events);
  }

  void FindsQueryValues() {
    const std::string query = "a=1&b&c%20d=x%2By+z&e=%4&a=2&f=%41";
    CPPUNIT_ASSERT(QueryValue(query, "a") == "1");
    CPPUNIT_ASSERT(QueryValue(query, "b") == "");
    CPPUNIT_ASSERT(QueryValue(query, "c d") == "x+y z");
    CPPUNIT_ASSERT(QueryValue(query, "e") == "%4");
    CPPUNIT_ASSERT(QueryValue(query, "f") == "A");
    CPPUNIT_ASSERT(!QueryValue(query, "g"));
    CPPUNIT_ASSERT(!QueryValue("", ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sse_test);

}  // namespace
}  // namespace slatestall
