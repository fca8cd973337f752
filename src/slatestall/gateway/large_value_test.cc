#include "slatestall/gateway/large_value.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

std::string SomeBytes(std::size_t bytes, std::uint64_t seed) {
  std::string made;
  for (std::uint64_t i = 0; made.size() < bytes; ++i) {
    made += StableHashText("part", seed + i);
  }
  made.resize(bytes);
  return made;
}

class large_value_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(large_value_test);
  CPPUNIT_TEST(PiecesMakeUpTheValue);
  CPPUNIT_TEST(AChangeLeavesMostPieces);
  CPPUNIT_TEST_SUITE_END();

  void PiecesMakeUpTheValue() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto bytes =
          *rc::gen::inRange<std::size_t>(0, std::size_t{200} << 10U);
      const bool is_uniform = *rc::gen::arbitrary<bool>();
      const auto text =
          is_uniform ? std::string(bytes, 'x') : SomeBytes(bytes, bytes);
      const large_value value(text);
      std::string joined;
      for (const auto& piece : value.Outline().pieces) {
        const auto found = value.Piece(piece.digest);
        RC_ASSERT(found.size() == piece.bytes);
        joined += found;
      }
      RC_ASSERT(joined == text);
      RC_ASSERT(value.Outline().Bytes() == bytes);
      RC_ASSERT(value.Outline() == large_value(text).Outline());
    }));
  }

  // A route more in the middle moved all that follows, and each host read all
  // of it again.
  void AChangeLeavesMostPieces() {
    constexpr std::size_t kBytes = std::size_t{1} << 20U;
    const auto text = SomeBytes(kBytes, 1);
    const large_value before(text);
    auto changed = text;
    changed.insert(kBytes / 3, "one more").erase(kBytes / 2, 5);
    const large_value after(changed);
    std::size_t fresh = 0;
    for (const auto& piece : after.Outline().pieces) {
      fresh += before.Piece(piece.digest).empty() ? piece.bytes : 0;
    }
    CPPUNIT_ASSERT(fresh > 0);
    CPPUNIT_ASSERT(fresh < kBytes / 10);
    CPPUNIT_ASSERT(before.Piece(0).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(large_value_test);

}  // namespace
}  // namespace slatestall
