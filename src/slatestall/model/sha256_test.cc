#include "slatestall/model/sha256.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace slatestall {
namespace {

class sha256_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(sha256_test);
  CPPUNIT_TEST(GivesTheDigestsOfTheStandard);
  CPPUNIT_TEST(PadsAtEveryBlockBoundary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GivesTheDigestsOfTheStandard() {
    CPPUNIT_ASSERT_EQUAL(std::string("e3b0c44298fc1c149afbf4c8996fb924"
                                     "27ae41e4649b934ca495991b7852b855"),
                         Sha256Hex(""));
    CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"
                                     "b00361a396177a9cb410ff61f20015ad"),
                         Sha256Hex("abc"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("248d6a61d20638b8e5c026930c3e6039"
                    "a33ce45964ff2167f6ecedd419db06c1"),
        Sha256Hex("abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq"));
    CPPUNIT_ASSERT_EQUAL(std::string("cdc76e5c9914fb9281a1c7e284d73e67"
                                     "f1809a48a497200e046d39ccc7112cd0"),
                         Sha256Hex(std::string(1000000, 'a')));
  }

  // Digests of n letters "a" around the lengths at which the padding needs a
  // second block, from coreutils' sha256sum.
  void PadsAtEveryBlockBoundary() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "9f4390f8d30c2dd92ec9f095b65e2b9ae9b0a925a5258e241c9f1e910f734318"),
        Sha256Hex(std::string(55, 'a')));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "b35439a4ac6f0948b6d6f9e3c6af0f5f590ce20f1bde7090ef7970686ec6738a"),
        Sha256Hex(std::string(56, 'a')));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "ffe054fe7ae0cb6dc65c3af9b61d5209f439851db43d0ba5997337df154668eb"),
        Sha256Hex(std::string(64, 'a')));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sha256_test);

}  // namespace
}  // namespace slatestall
