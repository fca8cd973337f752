#include "standins/endpoint/fault_switch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace slatestall {
namespace {

class fault_switch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fault_switch_test);
  CPPUNIT_TEST(ACountedFaultEnds);
  CPPUNIT_TEST(AnUnknownModeIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ACountedFaultEnds() {
    fault_switch faults(1);
    faults.Change({{"mode", "drop_after"}, {"count", 2}});
    CPPUNIT_ASSERT(faults.NextCall() == fault_mode::kDropAfter);
    CPPUNIT_ASSERT(faults.NextCall() == fault_mode::kDropAfter);
    CPPUNIT_ASSERT(faults.NextCall() == fault_mode::kNone);
  }

  void AnUnknownModeIsRefused() {
    fault_switch faults(1);
    CPPUNIT_ASSERT_THROW(faults.Change({{"mode", "odd"}}),
                         std::invalid_argument);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_switch_test);

}  // namespace
}  // namespace slatestall
