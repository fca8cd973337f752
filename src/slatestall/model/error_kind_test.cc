#include "slatestall/model/error_kind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace slatestall {
namespace {

class error_kind_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(error_kind_test);
  CPPUNIT_TEST(EveryKindHasItsOwnRow);
  CPPUNIT_TEST(UnsafeRetriesAreNeverPromisedAsNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryKindHasItsOwnRow() {
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(error_kind::kInternal); ++i) {
      const auto kind = static_cast<error_kind>(i);
      const error_answer& answer = AnswerFor(kind);
      CPPUNIT_ASSERT(answer.kind == kind);
      CPPUNIT_ASSERT(names.insert(answer.name).second);
      CPPUNIT_ASSERT(ErrorKindNamed(answer.name) == kind);
    }
  }

  void UnsafeRetriesAreNeverPromisedAsNotRun() {
    for (int i = 0; i <= static_cast<int>(error_kind::kInternal); ++i) {
      const error_answer& answer = AnswerFor(static_cast<error_kind>(i));
      if (answer.may_have_run == ran::kNo) {
        CPPUNIT_ASSERT(answer.retry_is_safe);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_kind_test);

}  // namespace
}  // namespace slatestall
