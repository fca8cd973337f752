#include "slatestall/http/answer_head.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace slatestall {
namespace {

class answer_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_head_test);
  CPPUNIT_TEST(AStatusHasThreeDigitsAndAKnownClass);
  CPPUNIT_TEST(AFieldIsNamedByAToken);
  CPPUNIT_TEST(WhatHasNoBodyTellsNoLength);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an answer with status 000 taken for an interim one or for a
  // success.
  void AStatusHasThreeDigitsAndAKnownClass() {
    for (int status = 0; status < 1000; ++status) {
      const std::string digits = std::to_string(1000 + status).substr(1);
      const auto read = StatusOf("HTTP/1.1 " + digits + " Reason");
      CPPUNIT_ASSERT_EQUAL(status >= 100 && status < 600, read.has_value());
      CPPUNIT_ASSERT(!read || *read == status);
    }
    CPPUNIT_ASSERT(StatusOf("HTTP/1.0 200") && StatusOf("HTTP/1.1 200 "));
    for (const char* line :
         {"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 2000 OK",
          "HTTP/1.1 0200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 -20 OK",
          "HTTP/1.1\t200 OK", "HTTP/1. 200 OK", "HTTP/2.0 200 OK",
          "http/1.1 200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 2x0 OK"}) {
      CPPUNIT_ASSERT_MESSAGE(line, !StatusOf(line));
    }
  }

  // Guards against two readers that disagree on a length: to one of them
  // "Content-Length " is another field.
  void AFieldIsNamedByAToken() {
    CPPUNIT_ASSERT(IsAnswerHead(200, {{"Content-Length", "5"}}));
    for (const char* name : {"", "Content-Length ", " Content-Length", "a b",
                             "a\tb", "a\x01", "a\x7f", "a\xc3\xa4", "a\r"}) {
      CPPUNIT_ASSERT_MESSAGE(name, !IsAnswerHead(200, {{name, "5"}}));
    }
  }

  void WhatHasNoBodyTellsNoLength() {
    for (const int status : {100, 103, 204}) {
      CPPUNIT_ASSERT(HasNoBody(status));
      CPPUNIT_ASSERT(IsAnswerHead(status, {}));
      CPPUNIT_ASSERT(IsAnswerHead(status, {{"Content-Length", "0"}}));
      CPPUNIT_ASSERT(!IsAnswerHead(status, {{"Content-Length", "5"}}));
      CPPUNIT_ASSERT(!IsAnswerHead(status, {{"Transfer-Encoding", "chunked"}}));
    }
    CPPUNIT_ASSERT(HasNoBody(304));
    CPPUNIT_ASSERT(IsAnswerHead(304, {{"Content-Length", "5"}}));
    CPPUNIT_ASSERT(!HasNoBody(200) && !HasNoBody(500));
    // Never asked for.
    CPPUNIT_ASSERT(!IsAnswerHead(101, {}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_head_test);

}  // namespace
}  // namespace slatestall
