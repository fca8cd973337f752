#include "slatestall/relay/message_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace slatestall {
namespace {

const std::string kGet = "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n";

read_fault FaultOf(message_kind kind, const std::string& bytes) {
  message_reader reader(kind);
  reader.Feed(bytes, {});
  return reader.Fault();
}

/// Feeds one byte at a time, so that no border between reads is missed.
void Trickle(message_reader& reader, const std::string& bytes) {
  for (const char c : bytes) {
    reader.Feed(std::string_view(&c, 1), {});
  }
}

class message_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_reader_test);
  CPPUNIT_TEST(ARequestIsReadWithItsHeadAsItStood);
  CPPUNIT_TEST(TheNextRequestIsLeftForLater);
  CPPUNIT_TEST(AChunkedBodyIsJoinedAndItsTrailersAreNoHeaders);
  CPPUNIT_TEST(FramingThatCanBeReadTwoWaysIsRefused);
  CPPUNIT_TEST(SizesAreBounded);
  CPPUNIT_TEST(AnAnswerWithoutLengthEndsWithItsConnection);
  CPPUNIT_TEST(AnAnswerThatIsCutIsNotComplete);
  CPPUNIT_TEST(AHeadCutAtAnyByteIsNoAnswer);
  CPPUNIT_TEST(AnAnswerToHeadHasNoBody);
  CPPUNIT_TEST(WhatIsNoAnswerIsMalformed);
  CPPUNIT_TEST(AHeadThatReadersDisagreeOnIsMalformed);
  CPPUNIT_TEST(AnAnswerWithoutABodyEndsWithItsHead);
  CPPUNIT_TEST_SUITE_END();

  void ARequestIsReadWithItsHeadAsItStood() {
    message_reader reader(message_kind::kRequest);
    Trickle(reader,
            "POST /p/q?r=1 HTTP/1.1\r\nHost: x\r\nX-Odd:  two words \r\n"
            "Empty:\r\nContent-Length: 3\r\n\r\nabc");
    CPPUNIT_ASSERT(reader.Complete());
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), reader.Head().method);
    CPPUNIT_ASSERT_EQUAL(std::string("/p/q?r=1"), reader.Head().target);
    CPPUNIT_ASSERT_EQUAL(std::string("X-Odd"), reader.Head().headers[1].name);
    CPPUNIT_ASSERT_EQUAL(std::string("two words"),
                         reader.Head().headers[1].value);
    CPPUNIT_ASSERT_EQUAL(std::string(), reader.Head().headers[2].value);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.TakeBody());
    CPPUNIT_ASSERT(reader.Head().keep_alive);
  }

  void TheNextRequestIsLeftForLater() {
    message_reader reader(message_kind::kRequest);
    const std::string two = kGet + "GET /next HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::size_t taken = reader.Feed(two, {});
    CPPUNIT_ASSERT(taken == kGet.size());
    reader.Reset();
    reader.Feed(two.substr(taken), {});
    CPPUNIT_ASSERT(reader.Complete());
    CPPUNIT_ASSERT_EQUAL(std::string("/next"), reader.Head().target);
  }

  void AChunkedBodyIsJoinedAndItsTrailersAreNoHeaders() {
    message_reader reader(message_kind::kRequest);
    Trickle(reader,
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\nHost: forged\r\n\r\n");
    CPPUNIT_ASSERT(reader.Complete());
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), reader.TakeBody());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reader.Head().headers.size());
  }

  // A caller hides a second request in the first: what this host takes for a
  // body, or for one header, a later reader takes for a message of its own.
  // That one would run under whatever key the connection carries.
  void FramingThatCanBeReadTwoWaysIsRefused() {
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string end = "\r\n\r\n0\r\n\r\n";
    for (const std::string& fields :
         {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked"),
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 5"),
          std::string("Content-Length: 5\r\nContent-Length: 6"),
          std::string("Content-Length: 5\r\nContent-Length: 5"),
          std::string("Transfer-Encoding: chunked\r\n"
                      "Transfer-Encoding: chunked"),
          std::string("Transfer-Encoding: identity"),
          std::string("Transfer-Encoding: xchunked"),
          std::string("Transfer-Encoding: gzip, chunked"),
          std::string("Content-Length: +5"), std::string("Content-Length: 5x"),
          std::string("X: a\nContent-Length: 5"),
          std::string("X: a\r\n folded: b"), std::string("X : a")}) {
      std::string bytes = start;
      bytes += fields;
      bytes += end;
      CPPUNIT_ASSERT_MESSAGE(fields, FaultOf(message_kind::kRequest, bytes) ==
                                         read_fault::kMalformed);
    }
  }

  void SizesAreBounded() {
    message_limits limits;
    limits.max_head_bytes = 100;
    limits.max_body_bytes = 10;
    message_reader head(message_kind::kRequest);
    head.Feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'a') + "\r\n\r\n",
              limits);
    CPPUNIT_ASSERT(head.Fault() == read_fault::kHeadTooLarge);
    message_reader body(message_kind::kRequest);
    body.Feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901",
              limits);
    CPPUNIT_ASSERT(body.Fault() == read_fault::kBodyTooLarge);
  }

  void AnAnswerWithoutLengthEndsWithItsConnection() {
    message_reader reader(message_kind::kAnswer);
    reader.Feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\nall of it", {});
    CPPUNIT_ASSERT(!reader.Complete());
    reader.FeedEnd();
    CPPUNIT_ASSERT(reader.Complete());
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"), reader.TakeBody());
  }

  // The endpoint dies while it writes. Its connection ends in an orderly way
  // all the same, and what has come so far must not pass for the answer.
  void AnAnswerThatIsCutIsNotComplete() {
    for (const std::string& cut :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "4\r\nhalf\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-")}) {
      message_reader reader(message_kind::kAnswer);
      reader.Feed(cut, {});
      reader.FeedEnd();
      CPPUNIT_ASSERT(!reader.Complete());
      CPPUNIT_ASSERT(reader.Fault() != read_fault::kNone);
    }
  }

  // Guards against a 200 without a body, or with a short one, that passes for
  // whole: the endpoint stopped in the middle of the head.
  void AHeadCutAtAnyByteIsNoAnswer() {
    const std::string start = "HTTP/1.1 200 OK\r\nStamp: s\r\n";
    for (const std::string& head :
         {start + "Content-Length: 9\r\n\r\n", start + "\r\n",
          start + "Transfer-Encoding: chunked\r\n\r\n"}) {
      for (std::size_t bytes = 1; bytes < head.size(); ++bytes) {
        message_reader reader(message_kind::kAnswer);
        reader.Feed(head.substr(0, bytes), {});
        reader.FeedEnd();
        CPPUNIT_ASSERT(!reader.HeadComplete() && !reader.Complete());
        CPPUNIT_ASSERT(reader.Fault() != read_fault::kNone);
      }
    }
  }

  void AnAnswerToHeadHasNoBody() {
    message_reader reader(message_kind::kAnswer);
    reader.ExpectNoBody();
    reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", {});
    CPPUNIT_ASSERT(reader.Complete());
  }

  void WhatIsNoAnswerIsMalformed() {
    CPPUNIT_ASSERT(FaultOf(message_kind::kAnswer, "\x01\x02 nonsense\r\n") ==
                   read_fault::kMalformed);
  }

  // Guards against an answer whose status is none, or in whose head the name of
  // a field holds a blank or a control byte: callers got it, or the bytes after
  // it, as an answer.
  void AHeadThatReadersDisagreeOnIsMalformed() {
    for (const char* status :
         {"000", "001", "099", "600", "999", "20", "0200", "101", "2000"}) {
      for (const char* fields : {"", "Content-Length: 2\r\n"}) {
        const std::string head = "HTTP/1.1 " + std::string(status) + " OK\r\n";
        CPPUNIT_ASSERT_MESSAGE(
            head, FaultOf(message_kind::kAnswer, head + fields + "\r\nok") ==
                      read_fault::kMalformed);
      }
    }
    for (const std::string& field :
         {std::string("Content-Length : 2"), std::string(" A: b"),
          std::string("A b: c"), std::string("A\x01: b"), std::string("A\t: b"),
          std::string("A\x7f: b"), std::string("A\0: b", 5), std::string(": b"),
          std::string("A"), std::string("Transfer-Encoding : chunked")}) {
      CPPUNIT_ASSERT_MESSAGE(
          field, FaultOf(message_kind::kAnswer, "HTTP/1.1 200 OK\r\n" + field +
                                                    "\r\nB: c\r\n\r\nok") ==
                     read_fault::kMalformed);
    }
    CPPUNIT_ASSERT(
        FaultOf(message_kind::kAnswer,
                "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nok") ==
        read_fault::kMalformed);
  }

  void AnAnswerWithoutABodyEndsWithItsHead() {
    for (const char* head : {"HTTP/1.1 304 Not Modified\r\n"
                             "Content-Length: 9\r\n\r\n",
                             "HTTP/1.1 204 No Content\r\n\r\n"}) {
      message_reader reader(message_kind::kAnswer);
      reader.Feed(head, {});
      CPPUNIT_ASSERT_MESSAGE(head, reader.Complete());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_reader_test);

}  // namespace
}  // namespace slatestall
