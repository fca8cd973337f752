#include "slatestall/serve/token_event_scan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "slatestall/serve/json_read.h"
#include "slatestall/serve/json_text.h"

namespace slatestall {
namespace {

/// Text with quotes, escapes, controls and UTF-8, whole and broken, far more
/// often than chance would give.
std::string SomeText() {
  const auto parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>(
          " ", "word", "\"", "\\", "/", "\n", "\x01", "\x7f", "\xC3\xA9",
          "\xE1\xBA\xB9", "\xF0\x9F\x8C\xBE", "\xED\xA0\x80", "\xC0\xAF",
          "\xF4\x90\x80\x80", "\xE0\x80\x80", "\xC3", "\xBF"));
  std::string text;
  for (std::size_t i = 0; i < parts.size() && i < 6; ++i) {
    text += parts[i];
  }
  return text;
}

/// An event as engines write it, its members in any order.
std::string SomeEvent() {
  const auto number = [] {
    return std::to_string(*rc::gen::arbitrary<std::uint32_t>());
  };
  std::vector<std::string> members = {
      R"("id": "r.1-1/0/0")", R"("offset": )" + number(),
      R"("count":)" + number(),
      R"("text" :)" + (*rc::gen::arbitrary<bool>() ? DumpJson(SomeText())
                                                   : "\"" + SomeText() + "\"")};
  const auto order =
      *rc::gen::map(rc::gen::arbitrary<std::uint32_t>(),
                    [](std::uint32_t bits) { return std::size_t{bits} % 4; });
  std::swap(members[0], members[order]);
  std::string event = "{";
  for (const std::string& member : members) {
    event += (event.size() > 1 ? ", " : "") + member;
  }
  return event + "}";
}

/// Changes some places of an event by what JSON gives a meaning to.
std::string Mutated(std::string event) {
  const auto places = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::arbitrary<std::uint32_t>());
  for (std::size_t i = 0; i < places.size() % 3; ++i) {
    const auto what = *rc::gen::element<std::string>(
        "\"", "\\", "\\u0041", "\\n", "\\x", "0", "00", "-", "1e3", ".5", ",",
        ":", "{", "}", "[]", " ", "\n", "\t", "\x01", "\xC3\xA9", "\xFF",
        "null", "999999999999999999999", R"(,"text":"other")",
        R"("finish_reason":"stop",)");
    const std::size_t at = places[i] % (event.size() + 1);
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, 3);
    event.replace(at, cut, what);
  }
  return event;
}

/// Whether the parser reads the same from `data` as the scanner did.
bool ParserAgrees(std::string_view data, const scanned_event& scanned) {
  const nlohmann::json event = ParseJson(data);
  return event.is_object() && event.size() == 4 &&
         StringMember(event, "id") == std::string(scanned.id) &&
         UnsignedMember(event, "offset") == scanned.offset &&
         UnsignedMember(event, "count") == scanned.count &&
         StringMember(event, "text") == scanned.text;
}

class token_event_scan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(token_event_scan_test);
  CPPUNIT_TEST(TakesOnlyWhatTheParserReadsAlike);
  CPPUNIT_TEST(TakesWhatEnginesWrite);
  CPPUNIT_TEST(LeavesAllElseToTheParser);
  CPPUNIT_TEST(WritesStringsAsTheParserDoes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakesOnlyWhatTheParserReadsAlike() {
    // The caller must not get another text, and no other attempt's event may
    // pass, because the quick reading of an event differs from the full one:
    // whatever is taken, however bent, is what the parser would have read.
    CPPUNIT_ASSERT(rc::check([] {
      const std::string data = Mutated(SomeEvent());
      const auto scanned = ScanTokenEvent(data);
      RC_CLASSIFY(scanned.has_value(), "taken");
      // In parentheses: the macro takes `||` apart and runs both of its sides.
      RC_ASSERT((!scanned || ParserAgrees(data, *scanned)));
    }));
  }

  void TakesWhatEnginesWrite() {
    CPPUNIT_ASSERT(rc::check([] {
      const nlohmann::json event = {
          {"id", "entry-1.9f.0-12/3/0"},
          {"offset", *rc::gen::arbitrary<std::uint32_t>()},
          {"count", *rc::gen::arbitrary<std::uint32_t>()},
          {"text",
           *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'))}};
      const std::string data = event.dump();
      const auto scanned = ScanTokenEvent(data);
      RC_ASSERT(scanned.has_value());
      RC_ASSERT(ParserAgrees(data, *scanned));
    }));
  }

  void LeavesAllElseToTheParser() {
    const std::vector<std::string> others = {
        "",
        "{}",
        "[DONE]",
        R"({"id":"a","offset":1,"count":1})",
        R"({"id":"a","offset":01,"count":1,"text":""})",
        R"({"id":"a","offset":-0,"count":1,"text":""})",
        R"({"id":"a","offset":1.0,"count":1,"text":""})",
        R"({"id":"a","offset":1,"count":1,"text":"","text":""})",
        R"({"id":"a","offset":1,"count":1,"text":"\u0041"})",
        R"({"id":"\u0061","offset":1,"count":1,"text":""})",
        R"({"id":"a","offset":1,"count":1,"text":"","finish_reason":"stop"})",
        R"({"id":"a","offset":1,"count":1,"text":""}})",
        R"({"id":"a","offset":1,"count":1,"text":"",})",
        "{\"id\":\"a\",\"offset\":1,\"count\":1,\"text\":\"\xC0\xAF\"}",
        "{\"id\":\"a\",\"offset\":1,\"count\":1,\"text\":\"\n\"}"};
    for (const std::string& data : others) {
      CPPUNIT_ASSERT_MESSAGE(data, !ScanTokenEvent(data));
    }
  }

  void WritesStringsAsTheParserDoes() {
    CPPUNIT_ASSERT(rc::check([] {
      const std::string text = SomeText();
      std::string written = "x";
      const bool is_utf8 =
          DumpJson(text).find("\xEF\xBF\xBD") == std::string::npos;
      RC_ASSERT(AppendJsonString(written, text) == is_utf8);
      RC_ASSERT(written == (is_utf8 ? "x" + DumpJson(text) : "x"));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_event_scan_test);

}  // namespace
}  // namespace slatestall
