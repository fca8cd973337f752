#include "slatestall/gateway/offered_values.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

large_value_ptr ValueOf(char byte) {
  return std::make_shared<const large_value>(
      std::string(large_value::kMinBytes, byte));
}

std::uint64_t FirstDigest(const large_value_ptr& value) {
  return value->Outline().pieces.at(0).digest;
}

class offered_values_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(offered_values_test);
  CPPUNIT_TEST(TheNewestTwoOfAKeyAreRead);
  CPPUNIT_TEST_SUITE_END();

  // A host in the middle of a value could not complete it once a newer one was
  // there.
  void TheNewestTwoOfAKeyAreRead() {
    const auto first = ValueOf('a');
    const auto second = ValueOf('b');
    const auto third = ValueOf('c');
    offered_values offered;
    offered.Offer("t", "k", first);
    offered.Offer("t", "k", first);
    offered.Offer("t", "k", second);
    const auto* packed = offered.Packed(FirstDigest(first));
    CPPUNIT_ASSERT(packed != nullptr);
    const auto bytes = first->Outline().pieces[0].bytes;
    CPPUNIT_ASSERT(UnpackPiece(*packed, bytes) == std::string(bytes, 'a'));
    offered.Offer("t", "k", third);
    CPPUNIT_ASSERT(offered.Packed(FirstDigest(first)) == nullptr);
    CPPUNIT_ASSERT(offered.Packed(FirstDigest(second)) != nullptr);
    CPPUNIT_ASSERT(offered.Packed(FirstDigest(third)) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(offered_values_test);

}  // namespace
}  // namespace slatestall
