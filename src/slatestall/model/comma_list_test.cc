#include "slatestall/model/comma_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

using items = std::vector<std::string_view>;

class comma_list_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(comma_list_test);
  CPPUNIT_TEST(ItemsAreGivenAsTheyStand);
  CPPUNIT_TEST(EmptyItemsCountButBehindALastCommaThereIsNone);
  CPPUNIT_TEST_SUITE_END();

  void ItemsAreGivenAsTheyStand() {
    CPPUNIT_ASSERT(SplitAtCommas("a") == items({"a"}));
    CPPUNIT_ASSERT(SplitAtCommas("a,b") == items({"a", "b"}));
    CPPUNIT_ASSERT(SplitAtCommas("a , b") == items({"a ", " b"}));
  }

  // A header with an item too few or too many is told from a whole one.
  void EmptyItemsCountButBehindALastCommaThereIsNone() {
    CPPUNIT_ASSERT(SplitAtCommas("").empty());
    CPPUNIT_ASSERT(SplitAtCommas(",") == items({""}));
    CPPUNIT_ASSERT(SplitAtCommas("a,,b") == items({"a", "", "b"}));
    CPPUNIT_ASSERT(SplitAtCommas(",a") == items({"", "a"}));
    CPPUNIT_ASSERT(SplitAtCommas("a,") == items({"a"}));
    CPPUNIT_ASSERT(SplitAtCommas("a,,") == items({"a", ""}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(comma_list_test);

}  // namespace
}  // namespace slatestall
