#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/test_loopback.h"
#include "slatestall/relay/caller_listener.h"

namespace slatestall {
namespace {

using asio::ip::tcp;
using std::chrono::seconds;

constexpr std::size_t kSmall = 1000;
constexpr std::size_t kLarge = 100'000;

caller_limits Limits(std::size_t bytes) {
  caller_limits limits;
  limits.message = {bytes, bytes};
  return limits;
}

std::string Post(std::size_t body_bytes, const std::string& more_head = "") {
  return "POST / HTTP/1.1\r\nHost: x\r\n" + more_head +
         "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'b');
}

std::string GetWithHead(std::size_t bytes) {
  return "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(bytes, 'h') +
         "\r\n\r\n";
}

/// Limits that change while callers keep their connections.
class caller_limits_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_limits_test);
  CPPUNIT_TEST(AKeptConnectionTakesWhatRaisedLimitsAllow);
  CPPUNIT_TEST(AKeptConnectionRefusesWhatLoweredLimitsForbid);
  CPPUNIT_TEST(ARequestThatSpansAChangeHasTheLargerLimits);
  CPPUNIT_TEST(ABodyThatAwaitsContinueHasTheLimitsOfItsArrival);
  CPPUNIT_TEST(AKeptConnectionMayStayIdleForARaisedTime);
  CPPUNIT_TEST(ALoweredIdleTimeHoldsFromTheNextWait);
  CPPUNIT_TEST(AHeadMayTakeARaisedTime);
  CPPUNIT_TEST(BeforeTheFirstLimitsNothingIsRefusedForGood);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    context_.emplace();
    caller_listener_options options;
    options.address = LoopbackOfThisProcess();
    options.now = [] { return std::chrono::steady_clock::now(); };
    listener_.emplace(
        *context_, options,
        [](const inbound_request&, const answer_channel_ptr& answer) {
          answer->Send(200, {}, "");
        });
  }
  void tearDown() override {
    listener_.reset();
    context_.reset();
  }

 private:
  tcp::socket Connect() {
    tcp::socket socket(*context_);
    socket.connect(
        {asio::ip::make_address(LoopbackOfThisProcess()), listener_->Port()});
    return socket;
  }

  /// The rest is written while the context runs; the host may refuse it.
  static void Send(tcp::socket& socket, const std::string& bytes) {
    const auto kept = std::make_shared<std::string>(bytes);
    asio::async_write(socket, asio::buffer(*kept),
                      [kept](const asio::error_code&, std::size_t) {});
  }

  void RunFor(milliseconds time) {
    context_->restart();
    context_->run_for(time);
  }

  /// @returns 0 where the connection ends without an answer.
  int Status(tcp::socket& socket) {
    socket.non_blocking(true);
    std::string got;
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (got.find("\r\n\r\n") == std::string::npos) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
      RunFor(milliseconds(1));
      std::array<char, 4096> input{};
      asio::error_code error;
      got.append(input.data(), socket.read_some(asio::buffer(input), error));
      if (error && error != asio::error::would_block) {
        return 0;
      }
    }
    socket.non_blocking(false);
    return std::stoi(got.substr(got.find(' ')));
  }

  int Ask(tcp::socket& socket, const std::string& request) {
    Send(socket, request);
    return Status(socket);
  }

  tcp::socket ConnectAndAsk() {
    auto socket = Connect();
    CPPUNIT_ASSERT_EQUAL(200, Ask(socket, Post(1)));
    return socket;
  }

  // Bodies that the configuration in force allows were refused for good.
  void AKeptConnectionTakesWhatRaisedLimitsAllow() {
    listener_->SetLimits(Limits(kSmall));
    auto kept_for_body = ConnectAndAsk();
    auto kept_for_head = ConnectAndAsk();
    auto kept_unused = Connect();
    RunFor(milliseconds(10));
    listener_->SetLimits(Limits(kLarge));
    auto fresh = Connect();
    CPPUNIT_ASSERT_EQUAL(200, Ask(kept_for_body, Post(kLarge / 2)));
    CPPUNIT_ASSERT_EQUAL(200, Ask(kept_for_head, GetWithHead(kLarge / 2)));
    CPPUNIT_ASSERT_EQUAL(200, Ask(kept_unused, Post(kLarge / 2)));
    CPPUNIT_ASSERT_EQUAL(200, Ask(fresh, Post(kLarge / 2)));
  }

  void AKeptConnectionRefusesWhatLoweredLimitsForbid() {
    listener_->SetLimits(Limits(kLarge));
    auto kept_for_body = ConnectAndAsk();
    auto kept_for_head = ConnectAndAsk();
    listener_->SetLimits(Limits(kSmall));
    CPPUNIT_ASSERT_EQUAL(413, Ask(kept_for_body, Post(kLarge / 2)));
    CPPUNIT_ASSERT_EQUAL(431, Ask(kept_for_head, GetWithHead(kLarge / 2)));
  }

  // A request was refused though a configuration in force while it came
  // allowed it.
  void ARequestThatSpansAChangeHasTheLargerLimits() {
    const std::vector<std::string> requests{Post(kLarge / 2),
                                            GetWithHead(kLarge / 2)};
    for (const auto& request : requests) {
      for (const bool is_raised : {true, false}) {
        listener_->SetLimits(Limits(is_raised ? kSmall : kLarge));
        auto kept = ConnectAndAsk();
        Send(kept, request.substr(0, kSmall / 2));
        RunFor(milliseconds(10));
        listener_->SetLimits(Limits(is_raised ? kLarge : kSmall));
        CPPUNIT_ASSERT_EQUAL(200, Ask(kept, request.substr(kSmall / 2)));
      }
    }
  }

  void ABodyThatAwaitsContinueHasTheLimitsOfItsArrival() {
    listener_->SetLimits(Limits(kSmall));
    auto kept = ConnectAndAsk();
    const auto request = Post(kLarge / 2, "Expect: 100-continue\r\n");
    const auto head_bytes = request.find("\r\n\r\n") + 4;
    CPPUNIT_ASSERT_EQUAL(100, Ask(kept, request.substr(0, head_bytes)));
    listener_->SetLimits(Limits(kLarge));
    CPPUNIT_ASSERT_EQUAL(200, Ask(kept, request.substr(head_bytes)));
  }

  // A connection closed by an idle time that was no longer in force, as its
  // next request came.
  void AKeptConnectionMayStayIdleForARaisedTime() {
    auto limits = Limits(kSmall);
    limits.idle_timeout = milliseconds(300);
    listener_->SetLimits(limits);
    auto kept = ConnectAndAsk();
    limits.idle_timeout = seconds(60);
    listener_->SetLimits(limits);
    RunFor(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(200, Ask(kept, Post(1)));
  }

  // A caller that counts on the idle time of before finds its connection gone.
  void ALoweredIdleTimeHoldsFromTheNextWait() {
    auto limits = Limits(kSmall);
    limits.idle_timeout = seconds(60);
    listener_->SetLimits(limits);
    auto kept = ConnectAndAsk();
    limits.idle_timeout = milliseconds(1);
    listener_->SetLimits(limits);
    RunFor(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(200, Ask(kept, Post(1)));
    CPPUNIT_ASSERT_EQUAL(0, Status(kept));
  }

  // A request was ended with 408 by a time that was no longer in force.
  void AHeadMayTakeARaisedTime() {
    auto limits = Limits(kSmall);
    limits.head_timeout = milliseconds(300);
    listener_->SetLimits(limits);
    auto kept = ConnectAndAsk();
    const auto request = Post(10);
    Send(kept, request.substr(0, 5));
    RunFor(milliseconds(1));
    limits.head_timeout = seconds(60);
    listener_->SetLimits(limits);
    RunFor(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(200, Ask(kept, request.substr(5)));
  }

  // Callers do not come back after 413 and 431.
  void BeforeTheFirstLimitsNothingIsRefusedForGood() {
    const std::size_t over = caller_limits{}.message.max_body_bytes + 1;
    auto with_body = Connect();
    CPPUNIT_ASSERT_EQUAL(503, Ask(with_body, Post(over)));
    auto with_head = Connect();
    CPPUNIT_ASSERT_EQUAL(503, Ask(with_head, GetWithHead(kLarge)));
  }

  std::optional<asio::io_context> context_;
  std::optional<caller_listener> listener_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_limits_test);

}  // namespace
}  // namespace slatestall
