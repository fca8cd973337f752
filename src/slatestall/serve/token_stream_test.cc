#include "slatestall/serve/token_stream.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "slatestall/serve/test_endpoint.h"

namespace slatestall {
namespace {

token_event Tokens(std::uint64_t first, std::uint64_t end) {
  token_event event{first, end - first, {}};
  for (std::uint64_t i = first; i < end; ++i) {
    event.text += TokenText(i);
  }
  return event;
}

class token_stream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(token_stream_test);
  CPPUNIT_TEST(AnyRepetitionGivesTheTextOnce);
  CPPUNIT_TEST(OtherTextForTheSameTokensIsRefused);
  CPPUNIT_TEST(GapIsRefused);
  CPPUNIT_TEST(RepetitionGivesTheRestOnce);
  CPPUNIT_TEST(RepetitionWithOtherWordsGivesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnyRepetitionGivesTheTextOnce() {
    // The caller sees each token once. An engine resumes a cut stream some
    // tokens before the offset asked for, in events cut elsewhere, doubled or
    // ahead of their turn; only text that fits exactly may go on.
    CPPUNIT_ASSERT(rc::check([] {
      std::string given;
      token_stream stream(
          [&given](std::uint64_t, std::string_view text) { given += text; });
      const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 6)));
      for (const auto& [first, count] : events) {
        const auto begin = static_cast<std::uint64_t>(first);
        const std::uint64_t before = stream.NextOffset();
        const auto end = begin + static_cast<std::uint64_t>(count);
        const splice result = stream.Take(Tokens(begin, end));
        RC_ASSERT((result == splice::kGap) == (begin > before));
        RC_ASSERT(result != splice::kAppended || stream.NextOffset() >= end);
      }
      RC_ASSERT(given == GeneratedText(stream.NextOffset()));
      RC_ASSERT(given == stream.Text());
    }));
  }

  void OtherTextForTheSameTokensIsRefused() {
    // The caller must not get the start of one generation and the end of
    // another: the engine lost the stream and generated anew with other words.
    token_stream stream([](std::uint64_t, std::string_view) {});
    stream.Take({0, 2, " a b"});
    CPPUNIT_ASSERT(stream.Take({0, 3, " a x c"}) == splice::kDiverged);
    CPPUNIT_ASSERT(stream.Take({0, 2, " a x"}) == splice::kDiverged);
    CPPUNIT_ASSERT(stream.Take({1, 2, " b c"}) == splice::kDiverged);
    CPPUNIT_ASSERT_EQUAL(std::string(" a b"), stream.Text());
    CPPUNIT_ASSERT(stream.Take({0, 3, " a b c"}) == splice::kAppended);
    CPPUNIT_ASSERT_EQUAL(std::string(" a b c"), stream.Text());
  }

  void GapIsRefused() {
    token_stream stream([](std::uint64_t, std::string_view) {});
    stream.Take({0, 1, " a"});
    CPPUNIT_ASSERT(stream.Take({2, 1, " c"}) == splice::kGap);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, stream.NextOffset());
  }

  void RepetitionGivesTheRestOnce() {
    // The caller has some tokens of a stream whose engine is gone. Another one
    // makes the answer anew, cut into other events; each token beyond those
    // given comes once, and none before them again.
    CPPUNIT_ASSERT(rc::check([] {
      token_stream cut([](std::uint64_t, std::string_view) {});
      const auto given = *rc::gen::inRange<std::uint64_t>(1, 20);
      cut.Take(Tokens(0, given));
      std::string more;
      std::uint64_t next = given;
      token_stream stream([&](std::uint64_t offset, std::string_view text) {
        RC_ASSERT(offset == next);
        more += text;
      });
      stream.Repeat(cut);
      std::uint64_t at = 0;
      while (at < 25) {
        const auto end = at + *rc::gen::inRange<std::uint64_t>(1, 8);
        RC_ASSERT(stream.IsRepeating() == (at < given));
        RC_ASSERT(stream.Take(Tokens(at, end)) == splice::kAppended);
        next = std::max(given, end);
        at = end;
      }
      RC_ASSERT(GeneratedText(given) + more == GeneratedText(at));
      RC_ASSERT(stream.Text() == GeneratedText(at));
    }));
  }

  void RepetitionWithOtherWordsGivesNothing() {
    token_stream cut([](std::uint64_t, std::string_view) {});
    cut.Take({0, 2, " a b"});
    bool gave = false;
    token_stream stream(
        [&gave](std::uint64_t, std::string_view) { gave = true; });
    stream.Repeat(cut);
    CPPUNIT_ASSERT(stream.Take({1, 1, " b"}) == splice::kGap);
    CPPUNIT_ASSERT(stream.Take({0, 1, " x"}) == splice::kDiverged);
    CPPUNIT_ASSERT(stream.Take({0, 3, " a x c"}) == splice::kDiverged);
    CPPUNIT_ASSERT(stream.Take({0, 1, " a b c"}) == splice::kDiverged);
    CPPUNIT_ASSERT(stream.Take({0, 2, " a"}) == splice::kDiverged);
    CPPUNIT_ASSERT(!gave && stream.IsRepeating());
    CPPUNIT_ASSERT(stream.Take({0, 1, " a"}) == splice::kAppended);
    CPPUNIT_ASSERT(stream.Take({1, 1, " b"}) == splice::kAppended);
    CPPUNIT_ASSERT(!gave && !stream.IsRepeating());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_stream_test);

}  // namespace
}  // namespace slatestall
