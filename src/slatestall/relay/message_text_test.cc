#include "slatestall/relay/message_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

#include "slatestall/relay/message_reader.h"

namespace slatestall {
namespace {

class message_text_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_text_test);
  CPPUNIT_TEST(NoValueEndsAHead);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a value of another program that smuggles a second message
  // into the one that carries it.
  void NoValueEndsAHead() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto value = *rc::gen::container<std::string>(
          rc::gen::element('\r', '\n', '\0', ':', ' ', 'a', ','));
      const std::string head = RequestHeadText(
          "POST", "/x", {{"First", value}, {"Content-Length", "0"}});
      message_reader reader(message_kind::kRequest);
      RC_ASSERT(reader.Feed(head, {}) == head.size());
      RC_ASSERT(reader.Complete());
      RC_ASSERT(reader.Head().headers.size() == std::size_t{2});
      RC_ASSERT(reader.Head().headers[1].name == "Content-Length");
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_text_test);

}  // namespace
}  // namespace slatestall
