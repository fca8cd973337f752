#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <string_view>

#include "slatestall/peer/frame_codec.h"
#include "slatestall/peer/frame_splitter.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxPayload = 4096;

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void TakeFrames(frame_splitter& splitter) {
  while (const auto payload = splitter.Next()) {
    Require(!payload->empty() && payload->size() <= kMaxPayload);
    const auto frame = DecodeFrame(*payload);
    if (frame != nullptr) {
      Require(frame->body.type != wire::message::NONE);
      Require(IsKnownKind(frame->body.type) == (frame->body.value != nullptr));
      Require(!EncodeFrame(*frame).empty());
    }
  }
}

// The first byte says where the stream is cut, as the network may cut it.
void ReadStream(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  const std::size_t cut = std::min<std::size_t>(
      static_cast<unsigned char>(bytes.front()), bytes.size() - 1);
  bytes.remove_prefix(1);
  frame_splitter splitter(kMaxPayload);
  try {
    for (const std::string_view piece :
         {bytes.substr(0, cut), bytes.substr(cut)}) {
      splitter.Append(piece);
      TakeFrames(splitter);
    }
  } catch (const std::length_error&) {  // The one error it may end with.
  }
}

}  // namespace
}  // namespace slatestall

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  slatestall::ReadStream({reinterpret_cast<const char*>(data), size});
  return 0;
}
