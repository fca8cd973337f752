#include "slatestall/peer/frame_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <stdexcept>

#include "slatestall/peer/frame_splitter.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxPayload = 512;

std::string AsFrame(const std::string& payload) {
  return FrameHeader(static_cast<std::uint32_t>(payload.size())) + payload;
}

wire::frameT SampleFrame(std::size_t entries) {
  wire::gossipT gossip;
  for (std::size_t i = 0; i < entries; ++i) {
    wire::host_digestT digest;
    digest.host = "entry-" + std::to_string(i);
    digest.peer_address = "10.0.0.1:8081";
    gossip.digests.push_back(std::make_unique<wire::host_digestT>(digest));
    wire::endpoint_noticeT notice;
    notice.address = "10.0.0.2:9000";
    gossip.notices.push_back(std::make_unique<wire::endpoint_noticeT>(notice));
    gossip.marks.emplace_back(i, i, i, i, i, false);
  }
  wire::frameT frame;
  frame.call = 7;
  frame.body = MakeMessage(std::move(gossip));
  return frame;
}

std::vector<std::uint8_t> PayloadOf(const wire::frameT& frame) {
  const std::string bytes = EncodeFrame(frame);
  return {bytes.begin() + kFrameHeaderBytes, bytes.end()};
}

class frame_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(frame_codec_test);
  CPPUNIT_TEST(AnySplitGivesTheSameFrames);
  CPPUNIT_TEST(LengthOverTheBoundEndsTheStream);
  CPPUNIT_TEST(MutatedFramesAreRefusedOrRead);
  CPPUNIT_TEST(KindWithoutBodyIsRefused);
  CPPUNIT_TEST(SharedTextIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnySplitGivesTheSameFrames() {
    const bool holds =
        rc::check("frames do not depend on where the stream is cut",
                  [](const std::vector<std::string>& texts,
                     const std::vector<std::uint8_t>& cuts) {
                    std::vector<std::string> sent;
                    std::string stream;
                    for (const std::string& text : texts) {
                      if (!text.empty() && text.size() <= kMaxPayload) {
                        sent.push_back(text);
                        stream += AsFrame(text);
                      }
                    }
                    frame_splitter splitter(kMaxPayload);
                    std::vector<std::string> received;
                    std::size_t position = 0;
                    std::size_t cut = 0;
                    while (position < stream.size()) {
                      const std::size_t step =
                          cut < cuts.size() ? cuts[cut++] : stream.size();
                      splitter.Append(stream.substr(position, step));
                      position += step;
                      while (const auto payload = splitter.Next()) {
                        received.emplace_back(payload->begin(), payload->end());
                      }
                    }
                    RC_ASSERT(received == sent);
                    RC_ASSERT(!splitter.HasPartialFrame());
                  });
    CPPUNIT_ASSERT(holds);
  }

  void LengthOverTheBoundEndsTheStream() {
    frame_splitter splitter(kMaxPayload);
    splitter.Append(FrameHeader(kMaxPayload + 1));
    CPPUNIT_ASSERT_THROW(splitter.Next(), std::length_error);
    frame_splitter other(kMaxPayload);
    other.Append(FrameHeader(0));
    CPPUNIT_ASSERT_THROW(other.Next(), std::length_error);
  }

  // A peer of another release, or broken memory, sends any bytes. The decoder
  // either refuses them or gives a frame that can be packed again; it reads
  // nothing outside the payload (the sanitizer runs watch this).
  void MutatedFramesAreRefusedOrRead() {
    const bool holds = rc::check(
        "any mutation of a frame is refused or read",
        [](const std::vector<std::pair<std::uint16_t, std::uint8_t>>& changes,
           std::uint16_t cut) {
          auto payload = PayloadOf(SampleFrame(3));
          for (const auto& [where, value] : changes) {
            payload[where % payload.size()] = value;
          }
          payload.erase(payload.end() - cut % 8, payload.end());
          const auto frame = DecodeFrame(payload);
          if (frame != nullptr) {
            RC_ASSERT(frame->body.type != wire::message::NONE);
            RC_ASSERT(IsKnownKind(frame->body.type) ==
                      (frame->body.value != nullptr));
            RC_ASSERT(!EncodeFrame(*frame).empty());
          }
        });
    CPPUNIT_ASSERT(holds);
    const bool random = rc::check(
        "random bytes are refused or read",
        [](const std::vector<std::uint8_t>& bytes) { DecodeFrame(bytes); });
    CPPUNIT_ASSERT(random);
  }

  // The frame names a kind but leaves the body out, which the verifier
  // passes. A handler that takes the body for granted would read null.
  void KindWithoutBodyIsRefused() {
    flatbuffers::FlatBufferBuilder builder;
    wire::frameBuilder frame(builder);
    frame.add_body_type(wire::message::gossip);
    builder.Finish(frame.Finish());
    const std::vector<std::uint8_t> payload(
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize());
    CPPUNIT_ASSERT(DecodeFrame(payload) == nullptr);
  }

  // A few kilobytes whose hundred entries all share one long string would
  // unpack to a hundred times their size, a megabyte's to gigabytes.
  void SharedTextIsRefused() {
    flatbuffers::FlatBufferBuilder builder;
    const auto text = builder.CreateString(std::string(4096, 'x'));
    const std::vector<flatbuffers::Offset<wire::endpoint_notice>> notices(
        100, wire::Createendpoint_notice(builder, text, 1));
    const auto gossip =
        wire::Creategossip(builder, 0, 0, builder.CreateVector(notices));
    builder.Finish(wire::Createframe(builder, 1, false, wire::message::gossip,
                                     gossip.Union()));
    const std::vector<std::uint8_t> payload(
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize());
    CPPUNIT_ASSERT(DecodeFrame(payload) == nullptr);
    CPPUNIT_ASSERT(DecodeFrame(PayloadOf(SampleFrame(100))) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_codec_test);

}  // namespace
}  // namespace slatestall
