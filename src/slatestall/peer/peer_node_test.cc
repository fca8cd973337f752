#include "slatestall/peer/peer_node.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "slatestall/peer/peer_test_support.h"

namespace slatestall {
namespace {

constexpr milliseconds kLong{15'000};

/// Its other limits are long: a pause of the test's machine reaches none.
peer_node_options ShortOptions() {
  peer_node_options options = LocalOptions();
  options.first_backoff = milliseconds(20);
  options.max_backoff = milliseconds(40);
  return options;
}

void AnswerStatus(peer_node& node, const std::string& json) {
  node.Handle(wire::message::status_request,
              [json](const wire::messageUnion&, const std::string&,
                     const std::function<void(wire::messageUnion)>& reply) {
                wire::status_replyT status;
                status.json = json;
                reply(MakeMessage(std::move(status)));
                reply(MakeErrorReply("internal", "a second answer"));
              });
}

class peer_node_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_node_test);
  CPPUNIT_TEST(CallIsAnsweredByItsPeer);
  CPPUNIT_TEST(UnreachablePeerIsNotSent);
  CPPUNIT_TEST(CallWithoutHelloIsNotSent);
  CPPUNIT_TEST(CallWithoutReplyIsUnknown);
  CPPUNIT_TEST(AnotherHostAtTheAddressIsNotSent);
  CPPUNIT_TEST(AContactIsWhoeverAnswersThere);
  CPPUNIT_TEST(UnknownVersionIsToldSo);
  CPPUNIT_TEST(BrokenBytesCloseOnlyTheirConnection);
  CPPUNIT_TEST(DoubledAndUnaskedRepliesAreDropped);
  CPPUNIT_TEST(ReplyOfAnOldConnectionAnswersNothing);
  CPPUNIT_TEST(ReplyOfAnotherKindIsUnknown);
  CPPUNIT_TEST(RestartedPeerEndsTheCallsOfItsFormerRun);
  CPPUNIT_TEST(TooManyConnectionsAreRefused);
  CPPUNIT_TEST(PeerThatDoesNotReadIsBounded);
  CPPUNIT_TEST(IdleConnectionIsDroppedAndMadeAgain);
  CPPUNIT_TEST(NodeMayGoWithCallsInFlight);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    node_.emplace(context_, host_id{"entry-1", 11}, ShortOptions());
  }

  void CallIsAnsweredByItsPeer() {
    peer_node other(context_, {"entry-2", 22}, ShortOptions());
    AnswerStatus(other, "{}");
    Use("entry-2", AddressOf(other.Port()));
    const peer_reply reply = CallStatus();
    CPPUNIT_ASSERT(reply.end == peer_call_end::kReplied);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), reply.body.Asstatus_reply()->json);
    const auto& sent = node_->Sent().at(wire::message::status_request);
    const auto& seen = other.Received().at(wire::message::status_request);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, seen.messages);
    CPPUNIT_ASSERT_EQUAL(sent.bytes, seen.bytes);
  }

  void UnreachablePeerIsNotSent() {
    Use("entry-2", AddressOf(ClosedPort()));
    CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kNotSent);
    // In the pause before the next try.
    CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kNotSent);
    Use("entry-2", "not an address");
    CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kNotSent);
  }

  // The peer accepts the connection and then hangs. Nothing but the hello has
  // been written, so the caller is told that the request was not sent and may
  // send it elsewhere.
  void CallWithoutHelloIsNotSent() {
    peer_node_options options = ShortOptions();
    options.hello_timeout = milliseconds(100);
    node_.emplace(context_, host_id{"entry-1", 11}, options);
    raw_listener listener(context_);
    Use("entry-2", listener.Address());
    CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kNotSent);
    Begin(milliseconds(50));
    CPPUNIT_ASSERT(TakeEnd().end == peer_call_end::kNotSent);
  }

  // The peer reads the request and dies. It may have acted, so the caller must
  // not hear "not sent", which would let it run the request elsewhere.
  void CallWithoutReplyIsUnknown() {
    raw_listener listener(context_);
    raw_peer peer = Greeted(listener);
    CPPUNIT_ASSERT(peer.ReadFrame() != nullptr);
    peer.Close();
    CPPUNIT_ASSERT(TakeEnd().end == peer_call_end::kUnknown);
    raw_peer again = Greeted(listener, milliseconds(1000));
    CPPUNIT_ASSERT(again.ReadFrame() != nullptr);
    CPPUNIT_ASSERT(TakeEnd().end == peer_call_end::kUnknown);
  }

  // The lagging list gives an address that now belongs to another host. Its
  // answers would be taken for those of the host that was asked.
  void AnotherHostAtTheAddressIsNotSent() {
    peer_node other(context_, {"entry-3", 33}, ShortOptions());
    AnswerStatus(other, "{}");
    Use("entry-2", AddressOf(other.Port()));
    CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kNotSent);
  }

  // A host that has just started knows addresses only: who listens there it
  // is still to learn.
  void AContactIsWhoeverAnswersThere() {
    peer_node other(context_, {"entry-3", 33}, ShortOptions());
    AnswerStatus(other, "{}");
    const auto address = AddressOf(other.Port());
    node_->SetPeers({{"entry-2", address, true}});
    CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kReplied);
    // On the connection made before.
    CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kReplied);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node_->Counters().connections_made);
  }

  void UnknownVersionIsToldSo() {
    raw_peer peer(context_, node_->Port());
    peer.Write(HelloFrame("entry-2", 22, kPeerProtocolVersion + 1));
    const auto answer = peer.ReadFrame();
    CPPUNIT_ASSERT(answer != nullptr);
    const wire::error_replyT* error = answer->body.Aserror_reply();
    CPPUNIT_ASSERT(error != nullptr);
    CPPUNIT_ASSERT(error->detail.find("version 2") != std::string::npos);
    CPPUNIT_ASSERT(peer.SeesEnd());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         node_->Counters().connections_refused);
  }

  // One peer sends garbage, another an oversize frame, a third half a frame.
  // Each loses its connection; calls of healthy peers go on as if nothing was.
  void BrokenBytesCloseOnlyTheirConnection() {
    peer_node_options options = ShortOptions();
    options.hello_timeout = milliseconds(1000);
    options.stall_timeout = milliseconds(1000);
    node_.emplace(context_, host_id{"entry-1", 11}, options);
    AnswerStatus(*node_, "{}");
    const std::string garbage = FrameHeader(8) + "garbage!";
    const std::string oversize = FrameHeader(0x7fffffff);
    const std::string half = FrameHeader(100) + "half";
    for (const std::string& bytes : {garbage, oversize, half}) {
      raw_peer before_hello(context_, node_->Port());
      before_hello.Write(bytes);
      CPPUNIT_ASSERT(before_hello.SeesEnd());
      raw_peer after_hello(context_, node_->Port());
      after_hello.Write(HelloFrame("entry-9", 9));
      CPPUNIT_ASSERT(after_hello.ReadFrame() != nullptr);
      after_hello.Write(bytes);
      CPPUNIT_ASSERT(after_hello.SeesEnd());
    }
    raw_peer cut(context_, node_->Port());
    cut.Write(HelloFrame("entry-9", 9) + half);
    CPPUNIT_ASSERT(cut.ReadFrame() != nullptr);
    cut.Close();
    CPPUNIT_ASSERT(RunUntil(
        context_, [&] { return node_->Counters().connections_broken == 7; }));
    peer_node healthy(context_, {"entry-2", 22}, ShortOptions());
    healthy.SetPeers({{"entry-1", AddressOf(node_->Port())}});
    healthy.Call("entry-1", MakeMessage(wire::status_requestT()), kLong,
                 [this](peer_reply reply) { end_ = std::move(reply); });
    CPPUNIT_ASSERT(TakeEnd().end == peer_call_end::kReplied);
  }

  void DoubledAndUnaskedRepliesAreDropped() {
    raw_listener listener(context_);
    raw_peer peer = Greeted(listener);
    const std::uint64_t call = peer.ReadFrame()->call;
    peer.Write(StatusReplyFrame(call + 1000, "unasked") +
               StatusReplyFrame(call, "right") +
               StatusReplyFrame(call, "doubled"));
    CPPUNIT_ASSERT_EQUAL(std::string("right"),
                         TakeEnd().body.Asstatus_reply()->json);
    CPPUNIT_ASSERT(RunUntil(
        context_, [&] { return node_->Counters().stray_replies == 2; }));
    // The connection is still good for the next call.
    Begin(kLong);
    peer.Write(StatusReplyFrame(peer.ReadFrame()->call, "next"));
    CPPUNIT_ASSERT_EQUAL(std::string("next"),
                         TakeEnd().body.Asstatus_reply()->json);
  }

  // The peer moves to a new address while an old connection still has a call
  // open. The old connection then answers with the number of the new call,
  // whose caller must get only what the new connection says.
  void ReplyOfAnOldConnectionAnswersNothing() {
    raw_listener first(context_);
    raw_peer old_peer = Greeted(first);
    const std::uint64_t old_call = old_peer.ReadFrame()->call;
    raw_listener second(context_);
    std::optional<peer_reply> old_end;
    std::swap(old_end, end_);
    raw_peer new_peer = Greeted(second);
    const std::uint64_t new_call = new_peer.ReadFrame()->call;
    CPPUNIT_ASSERT(new_call != old_call);
    old_peer.Write(StatusReplyFrame(new_call, "stale"));
    CPPUNIT_ASSERT(RunUntil(
        context_, [&] { return node_->Counters().stray_replies == 1; }));
    CPPUNIT_ASSERT(!end_);
    new_peer.Write(StatusReplyFrame(new_call, "right"));
    CPPUNIT_ASSERT_EQUAL(std::string("right"),
                         TakeEnd().body.Asstatus_reply()->json);
  }

  void ReplyOfAnotherKindIsUnknown() {
    raw_listener listener(context_);
    raw_peer peer = Greeted(listener);
    wire::frameT frame;
    frame.call = peer.ReadFrame()->call;
    frame.is_reply = true;
    frame.body = MakeMessage(wire::claim_replyT());
    peer.Write(EncodeFrame(frame));
    CPPUNIT_ASSERT(TakeEnd().end == peer_call_end::kUnknown);
  }

  // The peer vanishes without closing its connection and comes back. Its new
  // hello ends the call that its former run took, long before the timeout,
  // and the next call goes to the new run.
  void RestartedPeerEndsTheCallsOfItsFormerRun() {
    raw_listener listener(context_);
    raw_peer former = Greeted(listener);
    CPPUNIT_ASSERT(former.ReadFrame() != nullptr);
    std::vector<host_id> greeted;
    node_->HandleHello([&](const host_id& peer) { greeted.push_back(peer); });
    raw_peer restarted(context_, node_->Port());
    restarted.Write(HelloFrame("entry-2", 23));
    CPPUNIT_ASSERT(TakeEnd().end == peer_call_end::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node_->Counters().restarts_noticed);
    CPPUNIT_ASSERT(greeted.back() == (host_id{"entry-2", 23}));
    Begin(kLong);
    raw_peer again = listener.Accept();
    CPPUNIT_ASSERT(again.ReadFrame() != nullptr);
    again.Write(HelloFrame("entry-2", 23));
    again.Write(StatusReplyFrame(again.ReadFrame()->call, "new run"));
    CPPUNIT_ASSERT_EQUAL(std::string("new run"),
                         TakeEnd().body.Asstatus_reply()->json);
  }

  void TooManyConnectionsAreRefused() {
    peer_node_options options = ShortOptions();
    options.max_connections = 1;
    node_.emplace(context_, host_id{"entry-1", 11}, options);
    raw_peer first(context_, node_->Port());
    first.Write(HelloFrame("entry-2", 22));
    CPPUNIT_ASSERT(first.ReadFrame() != nullptr);
    raw_peer second(context_, node_->Port());
    CPPUNIT_ASSERT(second.SeesEnd());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node_->ConnectionCount());
  }

  // A peer asks and never reads. Its replies fill the bound on pending bytes;
  // then it loses the connection instead of taking this host's memory.
  void PeerThatDoesNotReadIsBounded() {
    AnswerStatus(*node_, std::string(std::size_t{900} << 10U, 'x'));
    raw_peer peer(context_, node_->Port());
    wire::frameT frame;
    frame.call = 1;
    frame.body = MakeMessage(wire::status_requestT());
    std::string bytes = HelloFrame("entry-2", 22);
    for (int i = 0; i < 64; ++i) {
      bytes += EncodeFrame(frame);
    }
    peer.Write(bytes);
    CPPUNIT_ASSERT(RunUntil(
        context_, [&] { return node_->Counters().connections_broken == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, node_->ConnectionCount());
  }

  void IdleConnectionIsDroppedAndMadeAgain() {
    peer_node_options options = ShortOptions();
    options.idle_timeout = milliseconds(40);
    node_.emplace(context_, host_id{"entry-1", 11}, options);
    peer_node other(context_, {"entry-2", 22}, ShortOptions());
    AnswerStatus(other, "{}");
    Use("entry-2", AddressOf(other.Port()));
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(CallStatus().end == peer_call_end::kReplied);
      CPPUNIT_ASSERT(
          RunUntil(context_, [&] { return node_->ConnectionCount() == 0; }));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, other.Counters().restarts_noticed);
  }

  // The host stops while a call waits for its reply and another one's handler
  // still holds its answer. Both must find nothing instead of freed memory.
  void NodeMayGoWithCallsInFlight() {
    std::function<void(wire::messageUnion)> held;
    node_->Handle(wire::message::status_request,
                  [&](const wire::messageUnion&, const std::string&,
                      std::function<void(wire::messageUnion)> reply) {
                    held = std::move(reply);
                  });
    peer_node other(context_, {"entry-2", 22}, ShortOptions());
    other.SetPeers({{"entry-1", AddressOf(node_->Port())}});
    std::optional<peer_reply> other_end;
    other.Call("entry-1", MakeMessage(wire::status_requestT()), kLong,
               [&](peer_reply reply) { other_end = std::move(reply); });
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return held != nullptr; }));
    Use("entry-2", AddressOf(other.Port()));
    Begin(kLong);
    node_.reset();
    held(MakeErrorReply("internal", "too late"));
    held = nullptr;
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return other_end.has_value(); }));
    CPPUNIT_ASSERT(other_end->end == peer_call_end::kUnknown);
    CPPUNIT_ASSERT(!end_);
  }

 private:
  void Use(const std::string& host, const std::string& address) {
    node_->SetPeers({{host, address}});
  }
  void Begin(milliseconds timeout) {
    end_.reset();
    node_->Call("entry-2", MakeMessage(wire::status_requestT()), timeout,
                [this](peer_reply reply) {
                  CPPUNIT_ASSERT(!end_);
                  end_ = std::move(reply);
                });
  }
  peer_reply TakeEnd() {
    CPPUNIT_ASSERT(RunUntil(context_, [&] { return end_.has_value(); }));
    return *end_;
  }
  peer_reply CallStatus() {
    Begin(kLong);
    return TakeEnd();
  }
  /// Begins a call to a raw peer and exchanges the hellos.
  raw_peer Greeted(raw_listener& listener, milliseconds timeout = kLong) {
    Use("entry-2", listener.Address());
    Begin(timeout);
    raw_peer peer = listener.Accept();
    CPPUNIT_ASSERT(peer.ReadFrame()->body.Ashello() != nullptr);
    peer.Write(HelloFrame("entry-2", 22));
    return peer;
  }
  std::uint16_t ClosedPort() {
    asio::ip::tcp::acceptor taken(context_, LocalEndpoint(0));
    return taken.local_endpoint().port();
  }

  asio::io_context context_;
  std::optional<peer_node> node_;
  std::optional<peer_reply> end_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_node_test);

}  // namespace
}  // namespace slatestall
