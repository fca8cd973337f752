#include "slatestall/serve/json_read.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>
#include <string>

namespace slatestall {
namespace {

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

class json_read_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(json_read_test);
  CPPUNIT_TEST(ADocumentThatIsNestedTooDeeplyIsNone);
  CPPUNIT_TEST(BracketsInStringsDoNotNest);
  CPPUNIT_TEST(ANumberThatIsTooLargeIsNoDocument);
  CPPUNIT_TEST_SUITE_END();

  // A copy or the text of such a document overflows the stack of its thread.
  void ADocumentThatIsNestedTooDeeplyIsNone() {
    CPPUNIT_ASSERT(!ParseJson(Nested(kMaxJsonNesting)).is_discarded());
    CPPUNIT_ASSERT(ParseJson(Nested(kMaxJsonNesting + 1)).is_discarded());
    CPPUNIT_ASSERT(ParseJson(Nested(200'000)).is_discarded());
    CPPUNIT_ASSERT_THROW(ParseJsonOrThrow(Nested(200'000)),
                         std::invalid_argument);
  }

  void BracketsInStringsDoNotNest() {
    const std::string text =
        R"({"a":")" + std::string(kMaxJsonNesting + 1, '[') + R"(\"[","b":[]})";
    CPPUNIT_ASSERT(ParseJson(text).is_object());
  }

  void ANumberThatIsTooLargeIsNoDocument() {
    CPPUNIT_ASSERT(ParseJson("[1e999]").is_discarded());
    CPPUNIT_ASSERT_THROW(ParseJsonOrThrow("[1e999]"),
                         nlohmann::json::exception);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_read_test);

}  // namespace
}  // namespace slatestall
