#include "slatestall/peer/frame_codec.h"

#include <utility>

#include "slatestall/peer/frame_splitter.h"

namespace slatestall {
namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 8;
constexpr flatbuffers::uoffset_t kMaxTables = 65536;

std::size_t LengthOf(const flatbuffers::String* text) {
  return text == nullptr ? 0 : text->size();
}

std::size_t TextBytes(const wire::request_outcome* outcome) {
  return outcome == nullptr
             ? 0
             : LengthOf(outcome->content_type()) + LengthOf(outcome->body());
}

std::size_t TextBytes(const wire::host_digest* digest) {
  return LengthOf(digest->host()) + LengthOf(digest->peer_address()) +
         LengthOf(digest->failure_domain()) + LengthOf(digest->successor());
}

std::size_t TextBytes(const wire::endpoint_notice* notice) {
  return LengthOf(notice->address());
}

std::size_t TextBytes(const wire::key_entry* entry) {
  return LengthOf(entry->workspace()) + LengthOf(entry->key()) +
         LengthOf(entry->request_id()) + TextBytes(entry->outcome());
}

std::size_t TextBytes(const wire::topic_record* record) {
  const auto pieces =
      record->pieces() == nullptr ? 0 : record->pieces()->size();
  return LengthOf(record->key()) + LengthOf(record->value()) +
         pieces * sizeof(wire::value_piece);
}

std::size_t TextBytes(const wire::stage_load* load) {
  return LengthOf(load->service()) + LengthOf(load->domain());
}

std::size_t TextBytes(const wire::leaving_endpoint* endpoint) {
  return LengthOf(endpoint->id());
}

using text_list = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

std::size_t TextBytes(const text_list* texts) {
  std::size_t sum = 0;
  if (texts != nullptr) {
    for (const auto* text : *texts) {
      sum += LengthOf(text);
    }
  }
  return sum;
}

template <typename Table>
std::size_t TextBytes(
    const flatbuffers::Vector<flatbuffers::Offset<Table>>* tables) {
  std::size_t sum = 0;
  if (tables != nullptr) {
    for (const Table* table : *tables) {
      sum += TextBytes(table);
    }
  }
  return sum;
}

// Verified offsets may still all point at one long string. Unpacked, a list of
// thousands of such entries would grow from a megabyte to gigabytes, and the
// host would die of memory. Entries written by a peer share no strings, so
// their text can never be longer than the payload.
bool SharesText(const wire::frame& frame, std::size_t payload_bytes) {
  std::size_t text = 0;
  if (const wire::gossip* gossip = frame.body_as_gossip()) {
    text = TextBytes(gossip->digests()) + TextBytes(gossip->notices());
  }
  if (const wire::key_handover* handover = frame.body_as_key_handover()) {
    text = TextBytes(handover->entries());
  }
  if (const wire::submit_pieces* submit = frame.body_as_submit_pieces()) {
    text = TextBytes(submit->inputs());
  }
  if (const auto* reply = frame.body_as_submit_pieces_reply()) {
    text = TextBytes(reply->handles());
  }
  if (const wire::free_results* results = frame.body_as_free_results()) {
    text = TextBytes(results->handles());
  }
  if (const auto* read = frame.body_as_read_topic_reply()) {
    text = TextBytes(read->records());
  }
  if (const auto* read = frame.body_as_read_pieces_reply()) {
    text = TextBytes(read->pieces());
  }
  if (const auto* status = frame.body_as_home_status_reply()) {
    text = TextBytes(status->loads()) + TextBytes(status->leaving());
  }
  return text > payload_bytes;
}

}  // namespace

std::string EncodeFrame(const wire::frameT& frame) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::frame::Pack(builder, &frame));
  std::string bytes = FrameHeader(builder.GetSize());
  bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize());
  return bytes;
}

std::unique_ptr<wire::frameT> DecodeFrame(
    const std::vector<std::uint8_t>& payload) {
  flatbuffers::Verifier verifier(payload.data(), payload.size(), kMaxDepth,
                                 kMaxTables);
  if (!wire::VerifyframeBuffer(verifier)) {
    return nullptr;
  }
  const wire::frame* frame = wire::Getframe(payload.data());
  const wire::message kind = frame->body_type();
  if (kind == wire::message::NONE) {
    return nullptr;
  }
  // The verifier passes a kind without its body; handlers rely on one.
  if (IsKnownKind(kind) && frame->body() == nullptr) {
    return nullptr;
  }
  if (SharesText(*frame, payload.size())) {
    return nullptr;
  }
  return std::unique_ptr<wire::frameT>(frame->UnPack());
}

bool IsKnownKind(wire::message kind) {
  return kind > wire::message::NONE && kind <= wire::message::MAX;
}

wire::message ReplyKind(wire::message request) {
  switch (request) {
    case wire::message::gossip:
      return wire::message::gossip;
    case wire::message::claim_request:
      return wire::message::claim_reply;
    case wire::message::claim_end:
      return wire::message::claim_end_reply;
    case wire::message::forward_request:
      return wire::message::forward_reply;
    case wire::message::key_handover:
      return wire::message::key_handover_reply;
    case wire::message::config_head_request:
      return wire::message::config_head_reply;
    case wire::message::status_request:
      return wire::message::status_reply;
    case wire::message::share_ask:
      return wire::message::share_answer;
    case wire::message::submit_pieces:
      return wire::message::submit_pieces_reply;
    case wire::message::home_status_request:
      return wire::message::home_status_reply;
    case wire::message::read_topic:
      return wire::message::read_topic_reply;
    case wire::message::book_stage:
      return wire::message::book_stage_reply;
    case wire::message::find_stream:
      return wire::message::find_stream_reply;
    case wire::message::read_pieces:
      return wire::message::read_pieces_reply;
    default:
      return wire::message::NONE;
  }
}

wire::messageUnion MakeErrorReply(const std::string& error_kind,
                                  const std::string& detail) {
  wire::error_replyT error;
  error.error_kind = error_kind;
  error.detail = detail;
  return MakeMessage(std::move(error));
}

}  // namespace slatestall
