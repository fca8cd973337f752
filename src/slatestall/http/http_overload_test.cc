#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "slatestall/http/http_server.h"
#include "slatestall/http/test_peers.h"

namespace slatestall {
namespace {

constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr milliseconds kBrief{200};

/// What strangers at the callers' port can do, and what it may cost.
class http_overload_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_overload_test);
  CPPUNIT_TEST(TrickledRequestEndsInTime);
  CPPUNIT_TEST(HeadersAreBoundedInAll);
  CPPUNIT_TEST(SilentCallersMakeRoom);
  CPPUNIT_TEST(DamagedRequestsHarmNoOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Open(Local()); }

  // The stranger loses its connection, and with it the place of a caller.
  // It sends a byte every few milliseconds, so that the connection is never
  // quiet; a limit on quiet time alone would let it stay for hours.
  void TrickledRequestEndsInTime() {
    http_server_options options = Local();
    options.read_timeout = kBrief;
    for (const char* begun :
         {"GET / HTTP/1.1\r\nX-A: ",
          "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n"}) {
      Open(options);
      const auto stranger = Ask(begun);
      asio::steady_timer timer(context_);
      const std::function<void()> trickle = [&] {
        stranger->Send("a");
        timer.expires_after(milliseconds(5));
        timer.async_wait([&](std::error_code error) {
          if (!error && !stranger->Ended()) {
            trickle();
          }
        });
      };
      trickle();
      RunUntil(context_, [&] { return stranger->Ended(); });
      timer.cancel();
      RunUntil(context_, [&] { return server_->OpenConnections() == 0; });
      CPPUNIT_ASSERT_EQUAL(0, served_);
    }
  }

  void HeadersAreBoundedInAll() {
    std::string many = "GET / HTTP/1.1\r\n";
    for (int i = 0; i <= 100; ++i) {
      many += "X-" + std::to_string(i) + ": a\r\n";
    }
    std::string large = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 50; ++i) {
      large += "X-A: " + std::string(2000, 'a') + "\r\n";
    }
    for (const auto& [headers, status] :
         {std::pair{many, "431"}, std::pair{large, "400"}}) {
      const auto caller = Ask(headers + "\r\n");
      RunUntil(context_, [&] { return caller->Ended(); });
      CPPUNIT_ASSERT_MESSAGE(caller->Received(),
                             caller->Has(std::string("HTTP/1.1 ") + status));
      CPPUNIT_ASSERT_EQUAL(0, served_);
    }
  }

  // A caller gets in after strangers took every place and said nothing.
  void SilentCallersMakeRoom() {
    http_server_options options = Local();
    options.max_connections = 2;
    options.idle_timeout = kBrief;
    Open(options);
    const auto first = Ask("");
    const auto second = Ask("");
    RunUntil(context_, [&] { return server_->OpenConnections() == 2; });
    const auto caller = Ask(kGet);
    RunUntil(context_, [&] { return caller->Has("whole"); });
  }

  // A caller is served as if nothing was, whatever bytes came before on other
  // connections: requests with some bytes changed, cut or made up.
  void DamagedRequestsHarmNoOther() {
    CPPUNIT_ASSERT(rc::check("damaged requests harm no other", [this] {
      std::string bytes =
          "POST /p?q=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
          "Connection: keep-alive\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
      const auto changes =
          *rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, char>>>();
      for (const auto& [where, value] : changes) {
        bytes[where % bytes.size()] = value;
      }
      bytes.resize(bytes.size() - *rc::gen::inRange(0, 40));
      const auto stranger = Ask(bytes);
      const auto caller = Ask(kGet);
      RunUntil(context_, [&] { return caller->Has("whole"); });
      stranger->Close();
      caller->Close();
      RunUntil(context_, [&] { return server_->OpenConnections() == 0; });
    }));
  }

 private:
  static http_server_options Local() {
    http_server_options options;
    options.address = LoopbackOfThisProcess();
    return options;
  }

  void Open(const http_server_options& options) {
    server_ = std::make_unique<http_server>(
        context_, options,
        [this](const http_request&, const http_responder_ptr& responder) {
          ++served_;
          responder->Send(200, {}, "whole");
        });
  }

  std::shared_ptr<raw_peer> Ask(std::string_view request) {
    return raw_peer::Connect(context_, server_->Port(), request);
  }

  asio::io_context context_;
  int served_ = 0;
  std::unique_ptr<http_server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_overload_test);

}  // namespace
}  // namespace slatestall
