#include "slatestall/peer/frame_splitter.h"

#include <stdexcept>

namespace slatestall {
namespace {

std::uint32_t ReadLength(std::string_view header) {
  std::uint32_t length = 0;
  for (const char byte : header.substr(0, kFrameHeaderBytes)) {
    length = (length << 8U) | static_cast<std::uint8_t>(byte);
  }
  return length;
}

}  // namespace

std::string FrameHeader(std::uint32_t length) {
  std::string header(kFrameHeaderBytes, '\0');
  for (std::size_t i = kFrameHeaderBytes; i-- > 0;) {
    header[i] = static_cast<char>(length & 0xffU);
    length >>= 8U;
  }
  return header;
}

frame_splitter::frame_splitter(std::size_t max_payload_bytes)
    : max_payload_bytes_(max_payload_bytes) {}

void frame_splitter::Append(std::string_view bytes) {
  buffer_.erase(0, position_);
  position_ = 0;
  buffer_.append(bytes);
}

std::optional<std::vector<std::uint8_t>> frame_splitter::Next() {
  std::string_view rest = buffer_;
  rest.remove_prefix(position_);
  if (rest.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  // Checked before the payload is waited for: an announced length costs no
  // memory, so a peer cannot make this host reserve what it never sends.
  const std::size_t length = ReadLength(rest);
  if (length == 0 || length > max_payload_bytes_) {
    throw std::length_error("frame of " + std::to_string(length) +
                            " bytes, allowed are 1 to " +
                            std::to_string(max_payload_bytes_));
  }
  if (rest.size() - kFrameHeaderBytes < length) {
    return std::nullopt;
  }
  // A copy of its own, since the codec reads numbers at their alignment.
  const std::string_view payload = rest.substr(kFrameHeaderBytes, length);
  position_ += kFrameHeaderBytes + length;
  return std::vector<std::uint8_t>(payload.begin(), payload.end());
}

}  // namespace slatestall
