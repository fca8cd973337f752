#include "slatestall/node/text_packing.h"

#include <zlib.h>

#include <array>

#include "slatestall/http/base64.h"

namespace slatestall {
namespace {

constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;

std::string Deflated(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  const int status = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                               reinterpret_cast<const Bytef*>(text.data()),
                               text.size(), Z_BEST_COMPRESSION);
  bytes.resize(status == Z_OK ? size : 0);
  return bytes;
}

/// A zlib stream that is read piece by piece.
class inflater {
 public:
  explicit inflater(std::string_view bytes) {
    // zlib reads the bytes only, but its interface is not const.
    stream_.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream_.avail_in = static_cast<uInt>(bytes.size());
    is_open_ = inflateInit(&stream_) == Z_OK;
  }
  ~inflater() {
    if (is_open_) {
      inflateEnd(&stream_);
    }
  }
  inflater(const inflater&) = delete;
  inflater& operator=(const inflater&) = delete;
  inflater(inflater&&) = delete;
  inflater& operator=(inflater&&) = delete;

  /// Appends what comes next; false at the end and where the bytes are bad.
  bool More(std::string& text) {
    std::array<Bytef, kChunkBytes> chunk;
    stream_.next_out = chunk.data();
    stream_.avail_out = static_cast<uInt>(chunk.size());
    status_ = is_open_ ? inflate(&stream_, Z_NO_FLUSH) : Z_STREAM_ERROR;
    text.append(reinterpret_cast<const char*>(chunk.data()),
                chunk.size() - stream_.avail_out);
    return status_ == Z_OK;
  }

  /// Whether the stream and its check sum ended with the last byte.
  bool IsWhole() const {
    return status_ == Z_STREAM_END && stream_.avail_in == 0;
  }

 private:
  z_stream stream_{};
  bool is_open_ = false;
  int status_ = Z_OK;
};

}  // namespace

std::string PackText(std::string_view text) {
  if (text.size() > kMaxPackedText) {
    return {};
  }
  std::string packed = Base64(Deflated(text));
  return packed.size() < text.size() ? packed : std::string{};
}

// A few packed bytes can stand for gigabytes. The text is bounded while it
// grows, so a bad record costs a host no more memory than the largest good one.
std::optional<std::string> UnpackText(std::string_view packed) {
  const auto bytes = BytesOfBase64(packed);
  if (!bytes) {
    return std::nullopt;
  }
  inflater stream(*bytes);
  std::string text;
  while (stream.More(text)) {
    if (text.size() > kMaxPackedText) {
      return std::nullopt;
    }
  }
  if (!stream.IsWhole() || text.size() > kMaxPackedText) {
    return std::nullopt;
  }
  return text;
}

}  // namespace slatestall
