#include "slatestall/relay/endpoint_call.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/relay/early_server.h"

namespace slatestall {
namespace {

using asio::ip::tcp;

/// Answers each connection with the same bytes and closes it.
class fixed_server {
 public:
  fixed_server(asio::io_context& context, std::string answer)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
        answer_(std::move(answer)) {
    Accept();
  }

  tcp::endpoint Where() const { return acceptor_.local_endpoint(); }

  std::string received;
  int connections = 0;

 private:
  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error,
                                  tcp::socket socket) {
      if (error) {
        return;
      }
      ++connections;
      const auto held = std::make_shared<tcp::socket>(std::move(socket));
      const auto input = std::make_shared<std::string>(4096, '\0');
      held->async_read_some(asio::buffer(*input), [this, held, input](
                                                      const asio::error_code&,
                                                      std::size_t size) {
        received += input->substr(0, size);
        asio::async_write(*held, asio::buffer(answer_),
                          [held](const asio::error_code&, std::size_t) {
                            asio::error_code ignored;
                            held->shutdown(tcp::socket::shutdown_both, ignored);
                          });
      });
      Accept();
    });
  }

  tcp::acceptor acceptor_;
  std::string answer_;
};

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

const char* const kPassedOn =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Its end is that of the connection.
const char* const kOpenEnded = "HTTP/1.1 200 OK\r\n\r\nbytes";

std::string Status(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
}

/// A call that other hosts are to pass on.
class endpoint_call_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_call_test);
  CPPUNIT_TEST(AnAnswerIsWholeWhenItsEndWasPassedOn);
  CPPUNIT_TEST(AnAnswerCutByTheOtherHostIsBroken);
  CPPUNIT_TEST(AHostThatRefusesIsPassedOver);
  CPPUNIT_TEST(AnUnreachableEndpointHasNothingOfTheCall);
  CPPUNIT_TEST(ALostHostMayHavePassedTheCallOn);
  CPPUNIT_TEST(TheDirectWayComesLast);
  CPPUNIT_TEST(AResetWhileTheRequestIsWrittenLeavesNoWholeAnswer);
  CPPUNIT_TEST(AnEarlyAnswerThatTellsItsLengthIsWhole);
  CPPUNIT_TEST(AnEarlyAnswerIsWholeOnceTheRequestIsWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { context_.emplace(); }

 private:
  tcp::endpoint Nobody() {
    tcp::acceptor any(*context_, {asio::ip::make_address("127.0.0.1"), 0});
    return any.local_endpoint();
  }

  call_outcome Run(
      const std::vector<tcp::endpoint>& via, const tcp::endpoint& direct,
      const std::string& request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n") {
    endpoint_call_options options;
    options.to = direct;
    options.request = request;
    options.connect_timeout = milliseconds(2000);
    options.silence_timeout = milliseconds(5000);
    options.endpoint_id = "i-1";
    for (const auto& address : via) {
      options.via.push_back({"h", address});
    }
    endpoint_call_hooks hooks;
    std::optional<call_outcome> outcome;
    body_.clear();
    refused_ = 0;
    hooks.on_body = [this](const std::string& bytes) { body_ += bytes; };
    hooks.on_relay_refused = [this](const std::string&) { ++refused_; };
    hooks.on_end = [&outcome](call_outcome end) { outcome = end; };
    const auto call = std::make_shared<endpoint_call>(
        *context_, std::move(options), std::move(hooks));
    call->Start();
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!outcome && std::chrono::steady_clock::now() < end) {
      context_->run_one_for(milliseconds(10));
    }
    CPPUNIT_ASSERT(outcome);
    may_have_left_ = call->MayHaveLeft();
    return *outcome;
  }

  static std::string LongRequest(std::size_t bytes) {
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
  }

  // Guards against a part of an answer taken for the whole: the endpoint
  // answered at once without a length and reset the connection during a long
  // upload.
  void AResetWhileTheRequestIsWrittenLeavesNoWholeAnswer() {
    early_server server(*context_, early_end::kReset,
                        [](const std::string&) { return kOpenEnded; });
    for (const std::size_t bytes : {100'000, 1'000'000, 8'000'000}) {
      for (int i = 0; i < 5; ++i) {
        CPPUNIT_ASSERT(Run({}, server.Where(), LongRequest(bytes)) ==
                       call_outcome::kBroken);
        CPPUNIT_ASSERT(may_have_left_);
      }
    }
  }

  void AnEarlyAnswerThatTellsItsLengthIsWhole() {
    early_server server(*context_, early_end::kReset, [](const std::string&) {
      return Status("413 Content Too Large");
    });
    CPPUNIT_ASSERT(Run({}, server.Where(), LongRequest(8'000'000)) ==
                   call_outcome::kComplete);
  }

  void AnEarlyAnswerIsWholeOnceTheRequestIsWritten() {
    early_server server(*context_, early_end::kReadsAll,
                        [](const std::string&) { return kOpenEnded; });
    CPPUNIT_ASSERT(Run({}, server.Where(), LongRequest(8'000'000)) ==
                   call_outcome::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), body_);
  }

  // An answer without a length was taken for cut though the endpoint ended it.
  void AnAnswerIsWholeWhenItsEndWasPassedOn() {
    fixed_server relay(*context_, kPassedOn + Chunk(kOpenEnded) + "0\r\n\r\n");
    CPPUNIT_ASSERT(Run({relay.Where()}, Nobody()) == call_outcome::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), body_);
    CPPUNIT_ASSERT(relay.received.find("Endpoint-Id: i-1") !=
                   std::string::npos);
  }

  // An answer that ended early because the other host died looked whole.
  void AnAnswerCutByTheOtherHostIsBroken() {
    fixed_server relay(*context_, kPassedOn + Chunk(kOpenEnded));
    CPPUNIT_ASSERT(Run({relay.Where()}, Nobody()) == call_outcome::kBroken);
    CPPUNIT_ASSERT(may_have_left_);
  }

  // A call failed because the first host asked was cut off as well.
  void AHostThatRefusesIsPassedOver() {
    fixed_server full(*context_, Status("503 Service Unavailable"));
    fixed_server relay(*context_, kPassedOn + Chunk(kOpenEnded) + "0\r\n\r\n");
    CPPUNIT_ASSERT(Run({full.Where(), Nobody(), relay.Where()}, Nobody()) ==
                   call_outcome::kComplete);
    CPPUNIT_ASSERT_EQUAL(2, refused_);
  }

  // A call that the endpoint never had counted as one that may have run.
  void AnUnreachableEndpointHasNothingOfTheCall() {
    fixed_server relay(*context_, Status("502 Bad Gateway"));
    fixed_server other(*context_, kOpenEnded);
    CPPUNIT_ASSERT(Run({relay.Where(), other.Where()}, other.Where()) ==
                   call_outcome::kNotConnected);
    CPPUNIT_ASSERT(!may_have_left_);
    CPPUNIT_ASSERT_EQUAL(0, other.connections);
  }

  // A call that a host may have passed on before it died was sent once more.
  void ALostHostMayHavePassedTheCallOn() {
    fixed_server lost(*context_, "");
    fixed_server other(*context_, kOpenEnded);
    CPPUNIT_ASSERT(Run({lost.Where(), other.Where()}, other.Where()) ==
                   call_outcome::kBroken);
    CPPUNIT_ASSERT(may_have_left_);
    CPPUNIT_ASSERT_EQUAL(0, other.connections);
  }

  // Calls failed while hosts took an outage for a cut of their own.
  void TheDirectWayComesLast() {
    fixed_server full(*context_, Status("503 Service Unavailable"));
    fixed_server endpoint(*context_, kOpenEnded);
    CPPUNIT_ASSERT(Run({full.Where()}, endpoint.Where()) ==
                   call_outcome::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, refused_);
    CPPUNIT_ASSERT(Run({full.Where()}, Nobody()) == call_outcome::kNotRelayed);
    CPPUNIT_ASSERT(!may_have_left_);
  }

  std::optional<asio::io_context> context_;
  std::string body_;
  int refused_ = 0;
  bool may_have_left_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_call_test);

}  // namespace
}  // namespace slatestall
