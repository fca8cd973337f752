#include "slatestall/node/text_packing.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <zlib.h>

#include <vector>

#include "slatestall/http/base64.h"

namespace slatestall {
namespace {

std::string Workspaces(int count) {
  std::string text = "workspaces:\n";
  for (int i = 0; i < count; ++i) {
    text += "  shop-" + std::to_string(i) +
            ": {routes: [chat-reply], limits: {requests_per_second: " +
            std::to_string(i * 7 % 90) + ", concurrency: 50}}\n";
  }
  return text;
}

class text_packing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(text_packing_test);
  CPPUNIT_TEST(AnyTextComesBackAsItWas);
  CPPUNIT_TEST(AlikeLinesTakeAFifth);
  CPPUNIT_TEST(WhatWasChangedOnTheWayIsNoText);
  CPPUNIT_TEST(TooLongATextIsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnyTextComesBackAsItWas() {
    CPPUNIT_ASSERT(rc::check("a text comes back as it was", [] {
      const auto part = *rc::gen::arbitrary<std::string>();
      const auto other = *rc::gen::arbitrary<std::string>();
      std::string text;
      for (auto i = *rc::gen::inRange(0, 40); i > 0; --i) {
        text += *rc::gen::element(part, other, std::string("aaaaaaaa"));
      }
      const auto packed = PackText(text);
      RC_ASSERT(packed.size() < text.size() || packed.empty());
      RC_ASSERT(packed.empty() || UnpackText(packed) == text);
    }));
  }

  void AlikeLinesTakeAFifth() {
    const auto text = Workspaces(360);
    const auto packed = PackText(text);
    CPPUNIT_ASSERT(!packed.empty());
    CPPUNIT_ASSERT(packed.size() < text.size() / 5);
    CPPUNIT_ASSERT(UnpackText(packed) == text);
  }

  // A record is damaged, or was never ours. A host that made some text of it
  // would obey what no other host obeys, or give its memory away.
  void WhatWasChangedOnTheWayIsNoText() {
    const auto packed = PackText(Workspaces(20));
    CPPUNIT_ASSERT(rc::check("a changed text is none", [&packed] {
      auto changed = packed;
      const auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
      const char symbol = *rc::gen::elementOf(std::string("AQgw/9+z"));
      RC_PRE(changed[at] != symbol);
      changed[at] = symbol;
      // The last symbols carry little; what is changed in them may not count.
      const auto text = UnpackText(changed);
      RC_ASSERT(!text || *text == Workspaces(20));
      RC_ASSERT(!text || at + 8 >= changed.size());
      RC_ASSERT(at + 8 >= changed.size() || !UnpackText(packed.substr(0, at)));
    }));
    for (const auto* bad : {"", "?", "//////////8", "AAAA AAAA"}) {
      CPPUNIT_ASSERT(!UnpackText(bad));
    }
  }

  // A record of some kilobytes that stands for any amount of text would end
  // every host that reads it, one after another, by its memory limit.
  void TooLongATextIsNone() {
    const std::string longest(kMaxPackedText, 'a');
    CPPUNIT_ASSERT(UnpackText(PackText(longest)) == longest);
    CPPUNIT_ASSERT(PackText(longest + 'a').empty());
    CPPUNIT_ASSERT(!UnpackText(PackedBomb()));
  }

 private:
  /// A zlib stream of five kilobytes that stands for five megabytes.
  static std::string PackedBomb() {
    const std::vector<Bytef> text(kMaxPackedText + kMaxPackedText / 4);
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    compress(reinterpret_cast<Bytef*>(bytes.data()), &size, text.data(),
             text.size());
    bytes.resize(size);
    return Base64(bytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(text_packing_test);

}  // namespace
}  // namespace slatestall
