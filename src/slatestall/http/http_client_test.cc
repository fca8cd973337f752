#include "slatestall/http/http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "slatestall/http/test_peers.h"

namespace slatestall {
namespace {

constexpr const char* kWhole =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

http_call Get(const std::string& url) {
  http_call call;
  call.url = url;
  call.timeout = milliseconds(5000);
  return call;
}

class http_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_client_test);
  CPPUNIT_TEST(ReturnsAWholeAnswer);
  CPPUNIT_TEST(TellsWhenAReadIsHandedOver);
  CPPUNIT_TEST(ReusesConnectionsBesideManyCalls);
  CPPUNIT_TEST(NeverTakesACutAnswerForWhole);
  CPPUNIT_TEST(NeverTakesACutHeadForAnAnswer);
  CPPUNIT_TEST(PassesOverInterimAnswers);
  CPPUNIT_TEST(NeverTakesAMalformedHeadForAnAnswer);
  CPPUNIT_TEST(SendsAnAtMostOnceCallOnce);
  CPPUNIT_TEST(NeverGivesALateAnswerToTheNextCall);
  CPPUNIT_TEST(RefusedConnectionProvesThatNothingWasSent);
  CPPUNIT_TEST(UnansweredConnectProvesThatNothingWasSent);
  CPPUNIT_TEST(SilentEndpointProvesNothing);
  CPPUNIT_TEST(SpentDeadlineStillEndsTheCall);
  CPPUNIT_TEST(BoundsTheAnswer);
  CPPUNIT_TEST(CancelClosesTheConnection);
  CPPUNIT_TEST(CancelsFromInsideData);
  CPPUNIT_TEST(StartsFromCompletionsAndData);
  CPPUNIT_TEST(GoesAwayWithCallsInFlight);
  CPPUNIT_TEST(ThrowsOnWhatAHookThrew);
  CPPUNIT_TEST(SendsNoHeaderOfTheCallersMaking);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsAWholeAnswer() {
    std::string request;
    fake_endpoint endpoint(context_, [&](raw_peer& peer, int) {
      request = peer.Received();
      peer.Send(
          "HTTP/1.1 404 Not Found\r\nX-A: b\r\nContent-Length: 2\r\n\r\nno");
    });
    http_call call = Get(endpoint.Url() + "p?q=1");
    call.method = "POST";
    call.body = "body";
    call.headers = {{"X-Attempt-Id", "r/s/1"}};
    int status = 0;
    call.on_status = [&](int seen) { status = seen; };
    call.on_data = [](std::string_view) { CPPUNIT_FAIL("data of a 404"); };
    const http_result result = Run(context_, client_, call);
    CPPUNIT_ASSERT(result.end == call_end::kComplete);
    CPPUNIT_ASSERT_EQUAL(404, result.status);
    CPPUNIT_ASSERT_EQUAL(404, status);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), result.body);
    CPPUNIT_ASSERT(FindHeader(result.headers, "x-a") == "b");
    CPPUNIT_ASSERT(request.starts_with("POST /p?q=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(request.find("X-Attempt-Id: r/s/1\r\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(request.find("Expect") == std::string::npos);
    CPPUNIT_ASSERT(request.find("form") == std::string::npos);
    CPPUNIT_ASSERT(request.ends_with("\r\n\r\nbody"));
  }

  // The caller sees kTruncated and never kComplete.
  // The endpoint begins its answer and its connection ends: inside a body of
  // known length, inside a chunked one, before the closing chunk, before any
  // byte, or with a body whose end nothing marks.
  void NeverTakesACutAnswerForWhole() {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& cut :
         {head + "Content-Length: 5\r\n\r\nhel",
          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
          head + "Content-Le", head + "\r\nhello", std::string()}) {
      fake_endpoint endpoint(context_, [&](raw_peer& peer, int) {
        peer.Send(cut);
        peer.Close();
      });
      http_call call = Get(endpoint.Url());
      call.at_most_once = true;
      const http_result result = Run(context_, client_, call);
      CPPUNIT_ASSERT_MESSAGE(cut, result.end == call_end::kTruncated);
      CPPUNIT_ASSERT(result.may_have_been_sent);
      CPPUNIT_ASSERT(!result.detail.empty());
    }
  }

  // Guards against a 200 without a body that passes for whole: libcurl takes a
  // head without its end for an answer.
  void NeverTakesACutHeadForAnAnswer() {
    const std::string start = "HTTP/1.1 200 OK\r\nX-A: b\r\n";
    for (const std::string& head :
         {start + "Content-Length: 0\r\n\r\n", start + "\r\n",
          start + "Transfer-Encoding: chunked\r\n\r\n"}) {
      for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
        fake_endpoint endpoint(context_, [&](raw_peer& peer, int) {
          peer.Send(head.substr(0, bytes));
          peer.Close();
        });
        const http_result result = Run(context_, client_, Get(endpoint.Url()));
        CPPUNIT_ASSERT_MESSAGE(head.substr(0, bytes),
                               result.end == call_end::kTruncated);
      }
    }
  }

  // Guards against an answer whose head libcurl and this client read in two
  // ways: a cut body counted as whole, or an answer had status 0.
  void NeverTakesAMalformedHeadForAnAnswer() {
    for (const std::string& head :
         {std::string("HTTP/1.1 000 OK\r\nContent-Length: 5\r\n"),
          std::string("HTTP/1.1 099 OK\r\nContent-Length: 5\r\n"),
          std::string("HTTP/1.1 600 OK\r\nContent-Length: 5\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length : 5\r\n"),
          std::string("HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 5\r\n"),
          std::string("HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 5\r\n"),
          std::string("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 5\r\n"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                      "Content-Length: 5\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                      "HTTP/x: 1\r\n folded\r\n")}) {
      fake_endpoint endpoint(context_, [&](raw_peer& peer, int) {
        peer.Send(head + "\r\nhello");
        peer.Close();
      });
      const http_result result = Run(context_, client_, Get(endpoint.Url()));
      CPPUNIT_ASSERT_MESSAGE(head, result.end == call_end::kTruncated);
      CPPUNIT_ASSERT_MESSAGE(head, !result.detail.empty());
    }
  }

  void PassesOverInterimAnswers() {
    fake_endpoint endpoint(context_, [](raw_peer& peer, int) {
      peer.Send("HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n");
      peer.Send(kWhole);
    });
    http_call call = Get(endpoint.Url());
    std::vector<int> statuses;
    call.on_status = [&](int status) { statuses.push_back(status); };
    const http_result result = Run(context_, client_, call);
    CPPUNIT_ASSERT(statuses == std::vector<int>{200});
    CPPUNIT_ASSERT(FindHeader(result.headers, "X-Not-Run").empty());
  }

  // The caller sees kTruncated and the endpoint sees the letter once.
  // A first call leaves its connection open. For the second the endpoint
  // reads the request, posts the letter, and dies before it answers. Had the
  // call gone out on the first one's connection, libcurl would take that for
  // a connection that idled out and send the letter again, unasked.
  void SendsAnAtMostOnceCallOnce() {
    fake_endpoint endpoint(context_, [](raw_peer& peer, int number) {
      number == 2 ? peer.Close() : peer.Send(kWhole);
    });
    Run(context_, client_, Get(endpoint.Url()));
    http_call letter = Get(endpoint.Url());
    letter.method = "POST";
    letter.body = "letter";
    letter.at_most_once = true;
    const http_result result = Run(context_, client_, letter);
    Settle(context_);
    CPPUNIT_ASSERT_EQUAL(2, endpoint.Requests());
    CPPUNIT_ASSERT(result.end == call_end::kTruncated);
    CPPUNIT_ASSERT(result.may_have_been_sent);
    Run(context_, client_, letter);
    RunUntil(context_, [&] { return endpoint.Peers().back()->Ended(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, endpoint.Peers().size());
  }

  // The second caller gets its own answer, not the one of the first.
  // The endpoint answers the first call twice. The second copy lies unread
  // on the kept connection when the next call starts; sent there, that call
  // would take the copy for its answer.
  void NeverGivesALateAnswerToTheNextCall() {
    fake_endpoint endpoint(context_, [&](raw_peer& peer, int number) {
      const std::string body = "answer" + std::to_string(number);
      const std::string answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + body;
      peer.Send(answer);
      if (number == 1) {
        asio::post(context_, [&peer, answer] { peer.Send(answer); });
      }
    });
    Run(context_, client_, Get(endpoint.Url()));
    Settle(context_);
    const http_result second = Run(context_, client_, Get(endpoint.Url()));
    CPPUNIT_ASSERT_EQUAL(std::string("answer2"), second.body);
  }

  void RefusedConnectionProvesThatNothingWasSent() {
    asio::ip::tcp::acceptor unused(
        context_, {asio::ip::make_address(LoopbackOfThisProcess()), 0});
    const auto port = unused.local_endpoint().port();
    unused.close();
    const http_result result =
        Run(context_, client_, Get("http://" + LoopbackAt(port)));
    CPPUNIT_ASSERT(result.end == call_end::kConnectFailed);
    CPPUNIT_ASSERT(!result.may_have_been_sent);
  }

  // The caller may go elsewhere at once, even with a letter.
  // The endpoint's host is too busy to accept: its backlog is full, so the
  // handshake is not answered and the connect timeout ends the call.
  void UnansweredConnectProvesThatNothingWasSent() {
    asio::ip::tcp::acceptor acceptor(context_);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind({asio::ip::make_address(LoopbackOfThisProcess()), 0});
    acceptor.listen(0);
    std::vector<asio::ip::tcp::socket> filling;
    filling.reserve(4);
    for (int i = 0; i < 4; ++i) {
      filling.emplace_back(context_).async_connect(acceptor.local_endpoint(),
                                                   [](std::error_code) {});
    }
    http_call call =
        Get("http://" + LoopbackAt(acceptor.local_endpoint().port()) + "/");
    call.connect_timeout = milliseconds(100);
    const http_result result = Run(context_, client_, call);
    CPPUNIT_ASSERT(result.end == call_end::kConnectFailed);
    CPPUNIT_ASSERT(!result.may_have_been_sent);
  }

  void SilentEndpointProvesNothing() {
    fake_endpoint endpoint(context_, [](raw_peer&, int) {});
    http_call call = Get(endpoint.Url());
    call.timeout = milliseconds(1000);
    const http_result result = Run(context_, client_, call);
    CPPUNIT_ASSERT(result.end == call_end::kTimedOut);
    CPPUNIT_ASSERT(result.may_have_been_sent);
  }

  // The caller sees a timeout; without care it would wait for good, since
  // libcurl reads a limit of zero as no limit.
  void SpentDeadlineStillEndsTheCall() {
    fake_endpoint endpoint(context_, [](raw_peer&, int) {});
    http_call call = Get(endpoint.Url());
    call.timeout = milliseconds(0);
    const http_result result = Run(context_, client_, call);
    CPPUNIT_ASSERT(result.end == call_end::kTimedOut ||
                   result.end == call_end::kConnectFailed);
  }

  void BoundsTheAnswer() {
    const std::string fields(70'000, 'x');
    for (const std::string& answer :
         {std::string(kWhole),
          "HTTP/1.1 200 OK\r\nX-A: " + fields + "\r\n\r\n"}) {
      fake_endpoint endpoint(context_,
                             [&](raw_peer& peer, int) { peer.Send(answer); });
      http_call call = Get(endpoint.Url());
      call.max_answer_bytes = 4;
      CPPUNIT_ASSERT(Run(context_, client_, call).end == call_end::kTooLarge);
    }
  }

  void CancelClosesTheConnection() {
    fake_endpoint endpoint(context_, [](raw_peer&, int) {});
    const auto number = client_.Start(Get(endpoint.Url()), MustNotRun());
    RunUntil(context_, [&] { return endpoint.Requests() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client_.InFlight());
    client_.Cancel(number);
    client_.Cancel(number);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client_.InFlight());
    RunUntil(context_, [&] { return endpoint.Peers().front()->Ended(); });
  }

  void CancelsFromInsideData() {
    fake_endpoint endpoint(context_,
                           [](raw_peer& peer, int) { peer.Send(kWhole); });
    fake_endpoint silent(context_, [](raw_peer&, int) {});
    const auto other = client_.Start(Get(silent.Url()), MustNotRun());
    RunUntil(context_, [&] { return silent.Requests() == 1; });
    http_call call = Get(endpoint.Url());
    http_client::call_number number = 0;
    bool cancelled = false;
    call.on_data = [&](std::string_view) {
      client_.Cancel(number);
      client_.Cancel(other);
      cancelled = true;
    };
    number = client_.Start(call, MustNotRun());
    RunUntil(context_, [&] { return cancelled; });
    RunUntil(context_, [&] {
      return endpoint.Peers().back()->Ended() && silent.Peers().back()->Ended();
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client_.InFlight());
  }

  // Calls beside many long streams must not pay for a connection each.
  // More calls are held open than idle connections are kept, then short ones
  // follow each other: the bound on idle ones must not count those in use.
  void ReusesConnectionsBesideManyCalls() {
    constexpr int kHeld = 300;
    fake_endpoint silent(context_, [](raw_peer&, int) {});
    std::vector<http_client::call_number> held;
    held.reserve(kHeld);
    for (int i = 0; i < kHeld; ++i) {
      held.push_back(client_.Start(Get(silent.Url()), MustNotRun()));
    }
    RunUntil(context_, [&] { return silent.Requests() == kHeld; });
    fake_endpoint endpoint(context_,
                           [](raw_peer& peer, int) { peer.Send(kWhole); });
    for (int i = 0; i < 3; ++i) {
      Run(context_, client_, Get(endpoint.Url()));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint.Peers().size());
    for (const auto number : held) {
      client_.Cancel(number);
    }
  }

  // An owner that gathers what came together must hear of its end before the
  // completion, or the last of it would be lost.
  // Three chunks of an answer arrive at once, then the answer ends.
  void TellsWhenAReadIsHandedOver() {
    fake_endpoint endpoint(context_, [](raw_peer& peer, int) {
      peer.Send(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n");
    });
    std::string heard;
    http_call call = Get(endpoint.Url());
    call.on_data = [&](std::string_view data) { heard += data; };
    call.on_read = [&] { heard += "."; };
    Run(context_, client_, call);
    CPPUNIT_ASSERT_EQUAL(std::string("abc."), heard);
  }

  void StartsFromCompletionsAndData() {
    fake_endpoint endpoint(context_,
                           [](raw_peer& peer, int) { peer.Send(kWhole); });
    int ended = 0;
    http_call first = Get(endpoint.Url());
    first.on_data = [&](std::string_view) {
      client_.Start(Get(endpoint.Url()), [&](const http_result&) { ++ended; });
    };
    client_.Start(first, [&](const http_result&) {
      ++ended;
      client_.Start(Get(endpoint.Url()), [&](const http_result&) { ++ended; });
    });
    RunUntil(context_, [&] { return ended == 3; });
  }

  void GoesAwayWithCallsInFlight() {
    fake_endpoint endpoint(context_,
                           [](raw_peer& peer, int) { peer.Send(kWhole); });
    auto client = std::make_unique<http_client>(context_);
    for (const bool from_data : {false, true}) {
      if (!client) {
        client = std::make_unique<http_client>(context_);
      }
      http_call call = Get(endpoint.Url());
      if (from_data) {
        call.on_data = [&](std::string_view) { client.reset(); };
        client->Start(call, MustNotRun());
      } else {
        client->Start(call, [&](const http_result&) { client.reset(); });
      }
      client->Start(Get(endpoint.Url()), [](const http_result&) {});
      RunUntil(context_, [&] { return client == nullptr; });
    }
    client = std::make_unique<http_client>(context_);
    client->Start(Get(endpoint.Url()), MustNotRun());
    client.reset();
    Settle(context_);
    RunUntil(context_, [&] {
      return std::ranges::all_of(endpoint.Peers(), &raw_peer::Ended);
    });
  }

  void ThrowsOnWhatAHookThrew() {
    fake_endpoint endpoint(context_,
                           [](raw_peer& peer, int) { peer.Send(kWhole); });
    http_call call = Get(endpoint.Url());
    call.on_data = [](std::string_view) { throw std::logic_error("hook"); };
    client_.Start(call, MustNotRun());
    CPPUNIT_ASSERT_THROW(RunUntil(context_, [] { return false; }),
                         std::logic_error);
    CPPUNIT_ASSERT(Run(context_, client_, Get(endpoint.Url())).end ==
                   call_end::kComplete);
  }

  void SendsNoHeaderOfTheCallersMaking() {
    fake_endpoint endpoint(context_,
                           [](raw_peer& peer, int) { peer.Send(kWhole); });
    http_call call = Get(endpoint.Url());
    call.headers = {{"X-A", "b\r\nX-Priority: interactive"}};
    const http_result result = Run(context_, client_, call);
    CPPUNIT_ASSERT(result.end == call_end::kConnectFailed);
    CPPUNIT_ASSERT(!result.may_have_been_sent);
    CPPUNIT_ASSERT_EQUAL(0, endpoint.Requests());
  }

 private:
  static http_client::completion MustNotRun() {
    return [](const http_result&) {
      CPPUNIT_FAIL("a completion that must not run");
    };
  }

  asio::io_context context_;
  http_client client_{context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

}  // namespace
}  // namespace slatestall
