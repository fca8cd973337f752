#include "slatestall/config/field_reference.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace slatestall {
namespace {

std::string ReferencePage() {
  const std::ifstream stream(SLATESTALL_SOURCE_DIR "/docs/CONFIG.md");
  CPPUNIT_ASSERT(stream.is_open());
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::size_t CountOf(const std::string& part, const std::string& text) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

class field_reference_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(field_reference_test);
  CPPUNIT_TEST(PageHoldsEveryFieldAndNoOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PageHoldsEveryFieldAndNoOther() {
    const std::string page = ReferencePage();
    std::size_t fields = 0;
    for (const field_section& section : FieldReference()) {
      const std::string wanted =
          "## `" + section.name + "`\n\n" + MarkdownTable(section) + "\n";
      CPPUNIT_ASSERT_MESSAGE("docs/CONFIG.md lacks or differs from:\n" + wanted,
                             page.find(wanted) != std::string::npos);
      fields += section.fields.size();
    }
    CPPUNIT_ASSERT_EQUAL(fields, CountOf("\n| `", page));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(field_reference_test);

}  // namespace
}  // namespace slatestall
