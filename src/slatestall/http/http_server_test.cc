#include "slatestall/http/http_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "slatestall/http/test_peers.h"

namespace slatestall {
namespace {

constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::string Post(std::size_t body_bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b');
}

/// Keeps every request it gets; the test answers.
struct keeping_handler {
  std::vector<http_request> requests;
  std::vector<http_responder_ptr> responders;
  /// Runs before a time limit can end the request.
  std::function<void(http_responder&)> on_request;
};

/// The body of the first answer, which is chunked.
std::string Unchunked(const std::string& answer) {
  std::string body;
  std::size_t at = answer.find("\r\n\r\n") + 4;
  while (const auto bytes = std::stoul(answer.substr(at, 16), nullptr, 16)) {
    at = answer.find("\r\n", at) + 2;
    body += answer.substr(at, bytes);
    at += bytes + 2;
  }
  return body;
}

class http_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_server_test);
  CPPUNIT_TEST(HandsOverTheRequest);
  CPPUNIT_TEST(StreamsAnAnswer);
  CPPUNIT_TEST(TellsOnceThatTheCallerClosed);
  CPPUNIT_TEST(AbortLeavesTheAnswerOpen);
  CPPUNIT_TEST(DroppedResponderAnswers500);
  CPPUNIT_TEST(TellsACallerThatIsStillSending);
  CPPUNIT_TEST(RefusesWhatItCannotRead);
  CPPUNIT_TEST(TakesABodyOfTheFullSize);
  CPPUNIT_TEST(SlowReaderIsSeenAndBounded);
  CPPUNIT_TEST(SlowReaderGetsEveryByteInOrder);
  CPPUNIT_TEST(DrainCutsNoRequest);
  CPPUNIT_TEST(ServesWhatWaitedInTheBacklogOfADrain);
  CPPUNIT_TEST(ClosesSlowAndIdleCallers);
  CPPUNIT_TEST(HoldsBackConnectionsAboveTheLimit);
  CPPUNIT_TEST(AnswersPipelinedRequestsInOrder);
  CPPUNIT_TEST(SharesItsPort);
  CPPUNIT_TEST(LetsNoHeaderSplitTheAnswer);
  CPPUNIT_TEST(AnswersHeadAndExpectAndUpgrade);
  CPPUNIT_TEST(ReportsAnAddressInUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HandsOverTheRequest() {
    const auto caller =
        Ask("POST /p/q?a=1&b HTTP/1.1\r\nX-A: v\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n");
    const http_request& request = AwaitRequest(1);
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/p/q"), request.path);
    CPPUNIT_ASSERT_EQUAL(std::string("a=1&b"), request.query);
    CPPUNIT_ASSERT_EQUAL(std::string("abcd"), request.body);
    CPPUNIT_ASSERT(FindHeader(request.headers, "x-a") == "v");
    kept_.responders[0]->Send(429, {{"X-Not-Run", "1"}}, "no");
    kept_.responders[0]->Send(200, {}, "late");
    RunUntil(context_, [&] { return caller->Has("\r\n\r\nno"); });
    CPPUNIT_ASSERT(caller->Has("HTTP/1.1 429 Too Many Requests\r\n"));
    CPPUNIT_ASSERT(caller->Has("X-Not-Run: 1\r\n"));
    CPPUNIT_ASSERT(!caller->Has("late"));
    caller->Send(kGet);
    AwaitRequest(2);
  }

  void StreamsAnAnswer() {
    const auto caller = Ask(kGet);
    AwaitRequest(1);
    kept_.responders[0]->StartStream(200, {});
    RunUntil(context_, [&] { return caller->Has("chunked\r\n\r\n"); });
    kept_.responders[0]->Write("ab");
    RunUntil(context_, [&] { return caller->Has("2\r\nab\r\n"); });
    kept_.responders[0]->Write("c");
    kept_.responders[0]->Write("d");
    kept_.responders[0]->Finish();
    RunUntil(context_, [&] { return caller->Has("0\r\n\r\n"); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept_.responders[0]->PendingBytes());
  }

  // The handler is told once, and not for the answer that was done before.
  // The caller gets one answer, asks again on the same connection and closes
  // while that is being worked on, before or inside the answer.
  void TellsOnceThatTheCallerClosed() {
    for (const bool streaming : {false, true}) {
      kept_ = {};
      int closed = 0;
      const auto count = [&] { ++closed; };
      const auto caller = Ask(kGet);
      AwaitRequest(1);
      kept_.responders[0]->OnClosed([&] { closed += 100; });
      kept_.responders[0]->Send(200, {}, "whole");
      caller->Send(kGet);
      AwaitRequest(2);
      kept_.responders[1]->OnClosed(count);
      if (streaming) {
        kept_.responders[1]->StartStream(200, {});
      }
      caller->Close();
      RunUntil(context_, [&] { return closed != 0; });
      kept_.responders[1]->Write("nobody reads this");
      kept_.responders[1]->Finish();
      kept_.responders[1]->OnClosed(count);
      RunUntil(context_, [&] { return server_->OpenConnections() == 0; });
      Settle(context_);
      CPPUNIT_ASSERT_EQUAL(1, closed);
    }
  }

  void AbortLeavesTheAnswerOpen() {
    const auto caller = Ask(kGet);
    AwaitRequest(1);
    kept_.responders[0]->OnClosed(
        [] { CPPUNIT_FAIL("closed by the handler"); });
    kept_.responders[0]->StartStream(200, {});
    kept_.responders[0]->Write("part");
    kept_.responders[0]->Abort();
    RunUntil(context_, [&] { return caller->Ended(); });
    CPPUNIT_ASSERT(!caller->Has("0\r\n\r\n"));
  }

  void DroppedResponderAnswers500() {
    const auto whole = Ask(kGet);
    AwaitRequest(1);
    kept_.responders.clear();
    RunUntil(context_, [&] { return whole->Has("HTTP/1.1 500 "); });
    const auto streamed = Ask(kGet);
    AwaitRequest(2);
    kept_.responders[0]->StartStream(200, {});
    kept_.responders.clear();
    RunUntil(context_, [&] { return streamed->Ended(); });
    CPPUNIT_ASSERT(!streamed->Has("0\r\n\r\n"));
    http_server throwing(context_, Local(), [](const auto&, const auto&) {
      throw std::runtime_error("handler");
    });
    const auto caller = raw_peer::Connect(context_, throwing.Port(), kGet);
    RunUntil(context_, [&] { return caller->Has("HTTP/1.1 500 "); });
  }

  // The caller sees 413, not a broken connection.
  // It is still sending its body when the server, which reads no more of it,
  // answers and closes. Closed with input unread the connection is reset, the
  // caller's send fails, and it never reads the answer.
  void TellsACallerThatIsStillSending() {
    http_client client(context_);
    http_call call;
    call.method = "POST";
    call.url = "http://" + LoopbackAt(server_->Port()) + "/";
    call.body = std::string().append(16'000'000, 'b');
    for (int i = 0; i < 5; ++i) {
      const http_result result = Run(context_, client, call);
      CPPUNIT_ASSERT_EQUAL(413, result.status);
      CPPUNIT_ASSERT(result.end == call_end::kComplete);
    }
  }

  void RefusesWhatItCannotRead() {
    struct refused {
      std::string request;
      std::string status;
    };
    const std::string long_text(100'000, 'a');
    for (const refused& each : std::vector<refused>{
             {Post(200'000), "413"},
             {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n186A0\r\n" +
                  long_text + "\r\n0\r\n\r\n",
              "413"},
             {"GET /" + long_text + " HTTP/1.1\r\n\r\n", "414"},
             {"GET / HTTP/1.1\r\nX-A: " + long_text + "\r\n\r\n", "431"},
             {"GET / HTTP/1.1\r\n" + long_text + ": b\r\n\r\n", "431"},
             {"what is this\r\n\r\n", "400"},
             {"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
              "400"},
             {"CONNECT h:1 HTTP/1.1\r\n\r\n", "400"}}) {
      const auto caller = Ask(each.request);
      RunUntil(context_, [&] { return caller->Ended(); });
      CPPUNIT_ASSERT_MESSAGE(each.request.substr(0, 60) + caller->Received(),
                             caller->Has("HTTP/1.1 " + each.status));
      CPPUNIT_ASSERT(kept_.requests.empty());
    }
  }

  void TakesABodyOfTheFullSize() {
    const auto caller = Ask(Post(kMaxBody));
    CPPUNIT_ASSERT_EQUAL(kMaxBody, AwaitRequest(1).body.size());
  }

  // The handler sees what is pending; if it writes on all the same, the
  // caller is cut off and the handler told.
  // The caller asks and never reads, so first the kernel's buffers fill and
  // then the server's.
  void SlowReaderIsSeenAndBounded() {
    const auto caller = Ask(kGet, false);
    AwaitRequest(1);
    bool closed = false;
    const auto responder = kept_.responders[0];
    responder->OnClosed([&] { closed = true; });
    responder->StartStream(200, {});
    std::size_t most = 0;
    for (int i = 0; i < 10'000 && !closed; ++i) {
      responder->Write(std::string(10'000, 'x'));
      most = std::max(most, responder->PendingBytes());
      context_.restart();
      context_.poll();
    }
    CPPUNIT_ASSERT(closed);
    CPPUNIT_ASSERT(most > kMaxPending - 10'000);
    CPPUNIT_ASSERT(most <= kMaxPending);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, responder->PendingBytes());
  }

  // The caller gets every byte of its answer in order, and the next answer
  // after it.
  // The caller does not read, the socket takes half a piece, and the handler
  // writes on, ends the answer and lets go of it; then the caller reads. The
  // rest of a piece that was begun past RESTinio must come before its end.
  void SlowReaderGetsEveryByteInOrder() {
    const auto caller = Ask(kGet, false);
    AwaitRequest(1);
    kept_.responders[0]->StartStream(200, {});
    Settle(context_);
    std::string sent;
    const auto write = [&](const std::string& piece) {
      sent += piece;
      kept_.responders[0]->Write(piece);
    };
    for (int c = 0; kept_.responders[0]->PendingBytes() == 0; ++c) {
      write(std::string(kMaxPending / 2, static_cast<char>('a' + c % 26)));
    }
    write("tail");
    CPPUNIT_ASSERT(kept_.responders[0]->PendingBytes() > 4);
    kept_.responders[0]->Finish();
    kept_.responders.clear();
    caller->Send(kGet);
    Settle(context_);
    caller->Read();
    RunUntil(context_, [&] { return !kept_.responders.empty(); });
    kept_.responders[0]->Send(200, {}, "next");
    RunUntil(context_, [&] { return caller->Has("\r\n\r\nnext"); });
    CPPUNIT_ASSERT(Unchunked(caller->Received()) == sent);
    CPPUNIT_ASSERT(caller->Has("0\r\n\r\nHTTP/1.1 200"));
  }

  // The caller with a request in hand gets its whole answer, which also says
  // that the connection ends; so does the one whose connection was idle.
  // The server stops accepting while one answer is half written.
  void DrainCutsNoRequest() {
    const auto streaming = Ask(kGet);
    AwaitRequest(1);
    kept_.responders[0]->StartStream(200, {});
    const auto working = Ask(kGet);
    AwaitRequest(2);
    const auto idle = Ask("");
    RunUntil(context_, [&] { return server_->OpenConnections() == 3; });
    server_->StopAccepting();
    Settle(context_);
    kept_.responders[0]->Write("rest");
    kept_.responders[0]->Finish();
    kept_.responders[1]->Send(200, {}, "whole");
    idle->Send(kGet);
    AwaitRequest(3);
    kept_.responders[2]->Send(200, {}, "whole");
    RunUntil(context_, [&] { return working->Ended() && idle->Ended(); });
    RunUntil(context_, [&] { return streaming->Has("0\r\n\r\n"); });
    CPPUNIT_ASSERT(working->Has("Connection: close") && working->Has("whole"));
    CPPUNIT_ASSERT(idle->Has("Connection: close") && idle->Has("whole"));
    CPPUNIT_ASSERT_THROW(Ask(kGet), std::system_error);
  }

  // The caller is answered. Its connection is made by the kernel and its
  // request sent, but the server has not accepted it yet when it stops; a
  // plain close of the listening socket would reset it.
  void ServesWhatWaitedInTheBacklogOfADrain() {
    const auto caller = Ask(kGet);
    server_->StopAccepting();
    AwaitRequest(1);
    kept_.responders[0]->Send(200, {}, "whole");
    RunUntil(context_, [&] { return caller->Ended(); });
    CPPUNIT_ASSERT(caller->Has("whole"));
  }

  // One limit at a time is short, so that no other can end the connection.
  void ClosesSlowAndIdleCallers() {
    const milliseconds brief(1);
    OpenWith(
        [&](http_server_options& options) { options.idle_timeout = brief; });
    const auto idle = Ask("");
    RunUntil(context_, [&] { return idle->Ended(); });

    OpenWith(
        [&](http_server_options& options) { options.read_timeout = brief; });
    const auto slow_writer = Ask("GET / HT");
    RunUntil(context_, [&] { return slow_writer->Ended(); });

    OpenWith(
        [&](http_server_options& options) { options.answer_timeout = brief; });
    bool told = false;
    kept_.on_request = [&](http_responder& responder) {
      responder.OnClosed([&] { told = true; });
    };
    const auto unanswered = Ask(kGet);
    RunUntil(context_, [&] { return told && unanswered->Ended(); });

    kept_.on_request = nullptr;
    OpenWith(
        [&](http_server_options& options) { options.write_timeout = brief; });
    const auto slow_reader = Ask(kGet, false);
    AwaitRequest(2);
    kept_.responders[1]->Send(200, {}, std::string().append(32'000'000, 'x'));
    RunUntil(context_, [&] { return server_->OpenConnections() == 0; });
  }

  void HoldsBackConnectionsAboveTheLimit() {
    http_server_options options = Local();
    options.max_connections = 2;
    Open(options);
    const auto first = Ask("");
    const auto second = Ask("");
    const auto third = Ask(kGet);
    RunUntil(context_, [&] { return server_->OpenConnections() == 2; });
    Settle(context_);
    CPPUNIT_ASSERT(kept_.requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server_->OpenConnections());
    first->Close();
    AwaitRequest(1);
  }

  // Each caller's answers come in the order of its requests, whichever was
  // ready first; and no drain closes between the two.
  void AnswersPipelinedRequestsInOrder() {
    const auto caller = Ask(std::string(kGet) + kGet);
    AwaitRequest(2);
    server_->StopAccepting();
    kept_.responders[1]->Send(200, {}, "second");
    kept_.responders[0]->Send(200, {}, "first");
    RunUntil(context_, [&] { return caller->Has("second"); });
    CPPUNIT_ASSERT(caller->Received().find("first") <
                   caller->Received().find("second"));
  }

  void SharesItsPort() {
    http_server_options options = Local();
    options.share_port = true;
    Open(options);
    options.port = server_->Port();
    const http_server other(context_, options, [](const auto&, const auto&) {});
    CPPUNIT_ASSERT_EQUAL(server_->Port(), other.Port());
  }

  void LetsNoHeaderSplitTheAnswer() {
    const auto caller = Ask(kGet);
    AwaitRequest(1);
    kept_.responders[0]->Send(
        200, {{"X-A", "b\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK"}}, "");
    RunUntil(context_, [&] { return caller->Has("\r\n\r\n"); });
    CPPUNIT_ASSERT(caller->Has("HTTP/1.1 500 "));
    CPPUNIT_ASSERT(!caller->Has("200 OK"));
  }

  void AnswersHeadAndExpectAndUpgrade() {
    const auto head = Ask("HEAD / HTTP/1.1\r\n\r\n");
    AwaitRequest(1);
    kept_.responders[0]->Send(200, {}, "body");
    RunUntil(context_, [&] { return head->Has("Content-Length: 4\r\n\r\n"); });
    CPPUNIT_ASSERT(!head->Has("body"));
    const auto expecting = Ask(
        "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    RunUntil(context_, [&] { return expecting->Has("100 Continue\r\n\r\n"); });
    expecting->Send("ab");
    AwaitRequest(2);
    const auto offering =
        Ask("POST / HTTP/1.1\r\nConnection: Upgrade\r\n"
            "Upgrade: h2c\r\nContent-Length: 2\r\n\r\ncd");
    CPPUNIT_ASSERT_EQUAL(std::string("cd"), AwaitRequest(3).body);
    kept_.responders[2]->Send(200, {}, "whole");
    RunUntil(context_, [&] { return offering->Has("whole"); });
  }

  void ReportsAnAddressInUse() {
    http_server_options options = Local();
    options.port = server_->Port();
    CPPUNIT_ASSERT_THROW(http_server(context_, options, nullptr),
                         std::system_error);
  }

  void setUp() override { Open(Local()); }

 private:
  static constexpr std::size_t kMaxBody = 50'000;
  static constexpr std::size_t kMaxPending = 200'000;

  static http_server_options Local() {
    http_server_options options;
    options.address = LoopbackOfThisProcess();
    return options;
  }

  void Open(http_server_options options) {
    options.max_body_bytes = kMaxBody;
    options.max_pending_bytes = kMaxPending;
    server_ = std::make_unique<http_server>(
        context_, options,
        [this](const http_request& request, http_responder_ptr responder) {
          kept_.requests.push_back(request);
          if (kept_.on_request) {
            kept_.on_request(*responder);
          }
          kept_.responders.push_back(std::move(responder));
        });
  }

  void OpenWith(const std::function<void(http_server_options&)>& change) {
    http_server_options options = Local();
    change(options);
    Open(options);
  }

  std::shared_ptr<raw_peer> Ask(std::string_view request, bool read = true) {
    return raw_peer::Connect(context_, server_->Port(), request, read);
  }

  const http_request& AwaitRequest(std::size_t number) {
    RunUntil(context_, [&] { return kept_.requests.size() >= number; });
    return kept_.requests[number - 1];
  }

  asio::io_context context_;
  keeping_handler kept_;
  std::unique_ptr<http_server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

}  // namespace
}  // namespace slatestall
