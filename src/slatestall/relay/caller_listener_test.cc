#include "slatestall/relay/caller_listener.h"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/model/test_loopback.h"

namespace slatestall {
namespace {

using asio::ip::tcp;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;
constexpr std::size_t kPart = 64 * kKilobyte;
const char* const kLastChunk = "\r\n0\r\n\r\n";

/// Callers on loopback whose kernel buffers are small, so that what they do not
/// read stays at the host.
class caller_listener_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_listener_test);
  CPPUNIT_TEST(CallersThatDoNotReadStayUnderTheBoundTogether);
  CPPUNIT_TEST(WithoutABoundOnAllNobodyIsClosed);
  CPPUNIT_TEST(ACallerThatResumesReadingStaysOpen);
  CPPUNIT_TEST(ACutOffIsToldOutsideOfTheAnswerThatCausedIt);
  CPPUNIT_TEST(AStoppedListenerTellsThoseItHasCutOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    context_.emplace();
    closed_.clear();
  }
  void tearDown() override {
    answers_.clear();
    callers_.clear();
    listener_.reset();
    context_.reset();
    budget_.reset();
  }

 private:
  void Listen(std::size_t limit) {
    caller_listener_options options;
    options.address = LoopbackOfThisProcess();
    options.now = [] { return std::chrono::steady_clock::now(); };
    if (limit > 0) {
      budget_ = std::make_shared<unread_budget>(limit);
      options.unread = budget_;
      options.on_unread_closed = [this](const unread_close& closed) {
        closed_.push_back(closed);
      };
    }
    listener_.emplace(
        *context_, options,
        [this](const inbound_request&, answer_channel_ptr answer) {
          answer->Start(200, {});
          answers_.push_back(std::move(answer));
        });
  }

  template <typename condition>
  bool Await(const condition& holds) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds() && std::chrono::steady_clock::now() < end) {
      context_->run_one_for(milliseconds(2));
    }
    return holds();
  }

  /// A caller whose answer has begun.
  answer_channel_ptr NewAnswer() {
    tcp::socket socket(*context_);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    // The system sizes the host's send buffer by segments, and loopback's are
    // 64 KiB: it would take 2.5 MB of each answer.
    const int segment = 536;
    CPPUNIT_ASSERT_EQUAL(0, setsockopt(socket.native_handle(), IPPROTO_TCP,
                                       TCP_MAXSEG, &segment, sizeof(segment)));
    socket.connect(
        {asio::ip::make_address(LoopbackOfThisProcess()), listener_->Port()});
    asio::write(socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    callers_.push_back(std::move(socket));
    const std::size_t before = answers_.size();
    CPPUNIT_ASSERT(Await([&] { return answers_.size() > before; }));
    return answers_.back();
  }

  /// Reads until the text has come or the connection has ended.
  std::string ReadUntil(tcp::socket& socket, const std::string& text) {
    socket.non_blocking(true);
    std::string got;
    CPPUNIT_ASSERT(Await([&] {
      std::array<char, 16384> input{};
      asio::error_code error;
      const std::size_t size = socket.read_some(asio::buffer(input), error);
      got.append(input.data(), size);
      return (error && error != asio::error::would_block) ||
             got.find(text) != std::string::npos;
    }));
    return got;
  }

  /// All of the host's unread bytes are bounded; callers with little unread
  /// lose nothing. Each of the 200 callers alone stays below its own bound.
  void CallersThatDoNotReadStayUnderTheBoundTogether() {
    constexpr std::size_t kHostMemory = 120 * kMegabyte;
    constexpr std::size_t kLimit = kHostMemory / 4;
    constexpr std::size_t kCallers = 200;
    constexpr std::size_t kSmallCallers = 10;
    constexpr int kParts = 12;
    Listen(kLimit);
    std::vector<answer_channel_ptr> large;
    std::vector<answer_channel_ptr> small;
    for (std::size_t i = 0; i < kSmallCallers; ++i) {
      small.push_back(NewAnswer());
      small.back()->Write(std::string(kPart / 2, 's'));
    }
    for (std::size_t i = 0; i < kCallers; ++i) {
      large.push_back(NewAnswer());
    }
    for (int part = 0; part < kParts; ++part) {
      for (const auto& answer : large) {
        answer->Write(std::string(kPart, 'l'));
        CPPUNIT_ASSERT(budget_->Total() <= kLimit);
      }
      context_->poll();
    }
    CPPUNIT_ASSERT(!closed_.empty());
    CPPUNIT_ASSERT_EQUAL(kCallers + kSmallCallers - closed_.size(),
                         listener_->Connections());
    for (const auto& closed : closed_) {
      CPPUNIT_ASSERT(closed.bytes >= unread_budget::kSmallestClosed);
      CPPUNIT_ASSERT(closed.total > kLimit);
    }
    for (std::size_t i = 0; i < kSmallCallers; ++i) {
      small[i]->Finish();
      const std::string got = ReadUntil(callers_[i], kLastChunk);
      CPPUNIT_ASSERT(got.find(std::string(kPart / 2, 's')) !=
                     std::string::npos);
      CPPUNIT_ASSERT(got.find(kLastChunk) != std::string::npos);
    }
    // What is closed or read no longer counts.
    for (auto& caller : callers_) {
      caller.close();
    }
    CPPUNIT_ASSERT(Await([&] { return budget_->Total() == 0; }));
  }

  // A host whose memory is not known cut off callers.
  void WithoutABoundOnAllNobodyIsClosed() {
    constexpr std::size_t kCallers = 20;
    Listen(0);
    std::vector<answer_channel_ptr> answers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      answers.push_back(NewAnswer());
      answers.back()->Write(std::string(kMegabyte, 'l'));
    }
    context_->poll();
    CPPUNIT_ASSERT_EQUAL(kCallers, listener_->Connections());
  }

  // A caller was closed by what it had unread before it read on.
  void ACallerThatResumesReadingStaysOpen() {
    Listen(kMegabyte);
    const auto resumes = NewAnswer();
    const auto stalls = NewAnswer();
    resumes->Write(std::string(800 * kKilobyte, 'r') + "end");
    ReadUntil(callers_.front(), "end");
    CPPUNIT_ASSERT(Await([&] { return budget_->Total() == 0; }));
    stalls->Write(std::string(600 * kKilobyte, 's'));
    resumes->Write(std::string(100 * kKilobyte, 'r'));
    CPPUNIT_ASSERT(closed_.empty());
    stalls->Write(std::string(500 * kKilobyte, 's'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed_.size());
    CPPUNIT_ASSERT(closed_.front().bytes > 1000 * kKilobyte);
    resumes->Finish();
    CPPUNIT_ASSERT(ReadUntil(callers_.front(), kLastChunk).find(kLastChunk) !=
                   std::string::npos);
    // The other sees that its answer is cut.
    CPPUNIT_ASSERT(ReadUntil(callers_.back(), kLastChunk).find(kLastChunk) ==
                   std::string::npos);
  }

  // The hook of one request changed what another was working on.
  void ACutOffIsToldOutsideOfTheAnswerThatCausedIt() {
    Listen(kMegabyte);
    const auto largest = NewAnswer();
    const auto other = NewAnswer();
    int told = 0;
    largest->OnCallerGone([&] { ++told; });
    other->OnCallerGone([] { CPPUNIT_FAIL("not the largest"); });
    largest->Write(std::string(700 * kKilobyte, 'l'));
    other->Write(std::string(500 * kKilobyte, 'o'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed_.size());
    CPPUNIT_ASSERT_EQUAL(0, told);
    largest->Write("more");  // Without effect.
    CPPUNIT_ASSERT(Await([&] { return told > 0; }));
    context_->poll();
    CPPUNIT_ASSERT_EQUAL(1, told);
    other->OnCallerGone(nullptr);
  }

  // A request whose caller was cut off just before the end stayed in hand.
  void AStoppedListenerTellsThoseItHasCutOff() {
    Listen(kMegabyte);
    const auto answer = NewAnswer();
    int told = 0;
    answer->OnCallerGone([&] { ++told; });
    answer->Write(std::string(kMegabyte, 'l'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed_.size());
    listener_.reset();
    CPPUNIT_ASSERT_EQUAL(1, told);
    context_->poll();
    CPPUNIT_ASSERT_EQUAL(1, told);
  }

  std::optional<asio::io_context> context_;
  std::shared_ptr<unread_budget> budget_;
  std::optional<caller_listener> listener_;
  std::vector<tcp::socket> callers_;
  std::vector<answer_channel_ptr> answers_;
  std::vector<unread_close> closed_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_listener_test);

}  // namespace
}  // namespace slatestall
