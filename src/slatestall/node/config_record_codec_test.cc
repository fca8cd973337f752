#include "slatestall/node/config_record_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace slatestall {
namespace {

class config_record_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_record_codec_test);
  CPPUNIT_TEST(KeepsBothKindsOfRecord);
  CPPUNIT_TEST(LongSourcesArePackedAndComeBackAsTheyWere);
  CPPUNIT_TEST(ForeignPayloadsAreMalformed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsBothKindsOfRecord() {
    config_record record;
    record.publication = "p";
    record.source = "services: {}\n";
    record.base = 4;
    record.published_at = 99;
    auto read = DecodeConfigRecord({7, EncodeConfigRecord(record)});
    CPPUNIT_ASSERT(!read.malformed && !read.republication);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.offset);
    CPPUNIT_ASSERT_EQUAL(record.source, read.source);
    CPPUNIT_ASSERT_EQUAL(record.base, read.base);
    CPPUNIT_ASSERT_EQUAL(record.published_at, read.published_at);
    record.republication = head_claim{3, 5};
    read = DecodeConfigRecord({8, EncodeConfigRecord(record)});
    CPPUNIT_ASSERT(read.republication == record.republication);
  }

  void LongSourcesArePackedAndComeBackAsTheyWere() {
    config_record record;
    record.publication = "p";
    for (int i = 0; i < 50; ++i) {
      record.source += "  shop-" + std::to_string(i) + ": {routes: [all]}\n";
    }
    const auto payload = EncodeConfigRecord(record);
    CPPUNIT_ASSERT(payload.size() < record.source.size() / 2);
    const auto read = DecodeConfigRecord({1, payload});
    CPPUNIT_ASSERT(!read.malformed);
    CPPUNIT_ASSERT_EQUAL(record.source, read.source);
    const auto whole =
        DecodeConfigRecord({1, R"({"publication":"p","source":"s","base":0})"});
    CPPUNIT_ASSERT_EQUAL(std::string("s"), whole.source);
  }

  // Something else appends to the stream. Its record has an offset like any
  // other; passing over it keeps all hosts on the same head.
  void ForeignPayloadsAreMalformed() {
    for (const char* payload :
         {"", "{", "[]", "7", R"({"publication":"p","source":"s"})",
          R"({"publication":1,"source":"s","base":0})",
          R"({"publication":"p","source":"s","base":-1})",
          R"({"publication":"p","source":"s","base":1.5})",
          R"({"publication":"p","source":"s","republish":1})",
          R"({"publication":"p","packed":"AAAA","base":0})",
          R"({"publication":"p","packed":7,"base":0})"}) {
      const auto read = DecodeConfigRecord({3, payload});
      CPPUNIT_ASSERT_MESSAGE(payload, read.malformed);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, read.offset);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_record_codec_test);

}  // namespace
}  // namespace slatestall
