#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatestall {

/// Bytes before each payload: its length, most significant byte first.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// @brief The four bytes that announce a payload of `length` bytes.
std::string FrameHeader(std::uint32_t length);

/// @brief Cuts a byte stream into the payloads of its frames. Holds at most
/// one unfinished frame, and never more bytes than have arrived.
/// @ingroup peer
class frame_splitter {
 public:
  explicit frame_splitter(std::size_t max_payload_bytes);

  /// @brief Changes the bound for the frames that follow.
  void SetMaxPayload(std::size_t bytes) { max_payload_bytes_ = bytes; }

  /// @brief Takes bytes in the order of their arrival.
  void Append(std::string_view bytes);

  /// @brief The next whole payload, or nothing until more bytes come.
  /// @throws std::length_error where a frame is empty or over the bound; the
  /// stream cannot be read any further.
  std::optional<std::vector<std::uint8_t>> Next();

  /// @brief Whether the last bytes belong to a frame that is not whole.
  bool HasPartialFrame() const { return position_ < buffer_.size(); }

 private:
  std::size_t max_payload_bytes_;
  std::string buffer_;
  std::size_t position_ = 0;  ///< Bytes of `buffer_` already taken.
};

}  // namespace slatestall
