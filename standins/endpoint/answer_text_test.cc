#include "standins/endpoint/answer_text.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

class answer_text_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_text_test);
  CPPUNIT_TEST(TheKeyIsTheMarkerWhereThereIsOne);
  CPPUNIT_TEST(EveryMarkerIsFound);
  CPPUNIT_TEST(TheAnswerHasTheStatedLength);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheKeyIsTheMarkerWhereThereIsOne() {
    CPPUNIT_ASSERT_EQUAL(std::string("a-1_b"),
                         AnswerKey("x marker: y marker:a-1_b, marker:c"));
    CPPUNIT_ASSERT_EQUAL(std::string("no mark"), AnswerKey("no mark"));
  }

  void EveryMarkerIsFound() {
    const std::set<std::string> expected = {"a", "b"};
    CPPUNIT_ASSERT(expected == AllMarkers("marker:a marker:b|marker:a"));
  }

  void TheAnswerHasTheStatedLength() {
    for (std::uint32_t max_tokens = 1; max_tokens < 40; ++max_tokens) {
      const std::uint32_t length = AnswerLength("key", max_tokens);
      CPPUNIT_ASSERT(length >= 1 && length * 2 + 1 >= max_tokens);
      CPPUNIT_ASSERT(length <= max_tokens);
      std::string text;
      for (std::uint32_t i = 0; i < length; ++i) {
        text += TokenText("key", i);
      }
      CPPUNIT_ASSERT_EQUAL(text, AnswerText("key", max_tokens));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_text_test);

}  // namespace
}  // namespace slatestall
