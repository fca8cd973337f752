#include <cppunit/extensions/HelperMacros.h>

#include <asio/steady_timer.hpp>
#include <optional>

#include "slatestall/peer/peer_test_support.h"

namespace slatestall {
namespace {

constexpr milliseconds kBrief{200};

/// What a stranger at the port of the hosts can do, and what it may cost.
class peer_overload_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_overload_test);
  CPPUNIT_TEST(StrangerMayNotAnnounceALargeFrame);
  CPPUNIT_TEST(TrickledFrameEndsInTime);
  CPPUNIT_TEST(SilentStrangerMakesRoom);
  CPPUNIT_TEST(UnansweredCallsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Before its hello a stranger can make the host hold a kilobyte, though the
  // bound of a frame is a megabyte: thousands of strangers cost little.
  void StrangerMayNotAnnounceALargeFrame() {
    Open(LocalOptions());
    raw_peer stranger(context_, node_->Port());
    stranger.Write(FrameHeader(2000));
    CPPUNIT_ASSERT(stranger.SeesEnd());
    raw_peer host(context_, node_->Port());
    host.Write(HelloFrame("entry-2", 22));
    CPPUNIT_ASSERT(host.ReadFrame() != nullptr);
    host.Write(FrameHeader(2000) + std::string(2000, 'x'));
    CPPUNIT_ASSERT(host.SeesEnd());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         node_->Counters().connections_broken);
  }

  // The stranger loses its connection though it is never quiet: it sends its
  // frame byte by byte, before its hello and after it.
  void TrickledFrameEndsInTime() {
    peer_node_options options = LocalOptions();
    options.stall_timeout = kBrief;
    Open(options);
    raw_peer after_hello(context_, node_->Port());
    after_hello.Write(HelloFrame("entry-2", 22));
    CPPUNIT_ASSERT(after_hello.ReadFrame() != nullptr);
    CPPUNIT_ASSERT(LosesConnection(after_hello));
    options = LocalOptions();
    options.hello_timeout = kBrief;
    Open(options);
    raw_peer before_hello(context_, node_->Port());
    CPPUNIT_ASSERT(LosesConnection(before_hello));
  }

  void SilentStrangerMakesRoom() {
    peer_node_options options = LocalOptions();
    options.max_connections = 1;
    options.hello_timeout = kBrief;
    Open(options);
    raw_peer silent(context_, node_->Port());
    CPPUNIT_ASSERT(silent.SeesEnd());
    raw_peer host(context_, node_->Port());
    host.Write(HelloFrame("entry-2", 22));
    CPPUNIT_ASSERT(host.ReadFrame() != nullptr);
  }

  // A peer asks and asks while this host cannot answer. Past the bound it is
  // told so, and the calls it has open go on.
  void UnansweredCallsAreBounded() {
    peer_node_options options = LocalOptions();
    options.max_calls_served = 3;
    Open(options);
    std::vector<std::function<void(wire::messageUnion)>> held;
    node_->Handle(wire::message::status_request,
                  [&](const wire::messageUnion&, const std::string&,
                      std::function<void(wire::messageUnion)> reply) {
                    held.push_back(std::move(reply));
                  });
    raw_peer peer(context_, node_->Port());
    std::string bytes = HelloFrame("entry-2", 22);
    for (std::uint64_t call = 1; call <= 5; ++call) {
      wire::frameT frame;
      frame.call = call;
      frame.body = MakeMessage(wire::status_requestT());
      bytes += EncodeFrame(frame);
    }
    peer.Write(bytes);
    CPPUNIT_ASSERT(peer.ReadFrame()->body.Ashello() != nullptr);
    for (std::uint64_t call = 4; call <= 5; ++call) {
      const auto refused = peer.ReadFrame();
      CPPUNIT_ASSERT(refused != nullptr);
      CPPUNIT_ASSERT_EQUAL(call, refused->call);
      CPPUNIT_ASSERT(refused->body.Aserror_reply() != nullptr);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, held.size());
    held[1](MakeMessage(wire::status_replyT()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, peer.ReadFrame()->call);
    held.clear();
  }

 private:
  void Open(const peer_node_options& options) {
    node_.emplace(context_, host_id{"entry-1", 11}, options);
  }

  /// Sends part of a frame a byte at a time, for seconds where it may.
  bool LosesConnection(raw_peer& peer) {
    constexpr int kMostSent = 900;
    constexpr milliseconds kPause{5};
    peer.Write(FrameHeader(kMostSent + 1));
    int sent = 0;
    asio::steady_timer pause(context_);
    const std::function<void()> trickle = [&] {
      if (node_->Counters().connections_broken == 0 && sent < kMostSent) {
        peer.Write("x");
        ++sent;
        pause.expires_after(kPause);
        pause.async_wait([&](std::error_code error) {
          if (!error) {
            trickle();
          }
        });
      }
    };
    trickle();
    return RunUntil(context_,
                    [&] {
                      return node_->Counters().connections_broken == 1 ||
                             sent == kMostSent;
                    }) &&
           sent < kMostSent;
  }

  asio::io_context context_;
  std::optional<peer_node> node_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_overload_test);

}  // namespace
}  // namespace slatestall
