#include "slatestall/gateway/large_value.h"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr std::size_t kShortestPiece = std::size_t{2} << 10U;
constexpr std::size_t kLongestPiece = std::size_t{16} << 10U;
/// A piece ends where these bits of the rolling hash are zero: once in 4 KiB.
constexpr std::uint64_t kCutMask = std::uint64_t{0xfff} << 48U;

/// A random number for each byte, the same on all hosts.
const std::array<std::uint64_t, 256>& ByteHashes() {
  static const auto kHashes = [] {
    std::array<std::uint64_t, 256> hashes{};
    for (std::size_t i = 0; i < hashes.size(); ++i) {
      hashes[i] = StableHash("byte of a piece", i);
    }
    return hashes;
  }();
  return kHashes;
}

/// @returns the length of the first piece. The hash covers the 64 bytes before
/// a place, so that a cut depends on what stands near it only.
std::size_t FirstPiece(std::string_view bytes) {
  const auto& hashes = ByteHashes();
  const auto most = std::min(bytes.size(), kLongestPiece);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < most; ++i) {
    hash = (hash << 1U) + hashes[static_cast<unsigned char>(bytes[i])];
    if (i >= kShortestPiece && (hash & kCutMask) == 0) {
      return i + 1;
    }
  }
  return most;
}

}  // namespace

std::size_t value_outline::Bytes() const {
  std::size_t sum = 0;
  for (const auto& piece : pieces) {
    sum += piece.bytes;
  }
  return sum;
}

large_value::large_value(std::string bytes) : bytes_(std::move(bytes)) {
  outline_.digest = StableHash(bytes_);
  std::string_view rest = bytes_;
  while (!rest.empty()) {
    const auto piece = rest.substr(0, FirstPiece(rest));
    const auto digest = StableHash(piece);
    outline_.pieces.push_back(
        {digest, static_cast<std::uint32_t>(piece.size())});
    by_digest_.emplace(digest, piece);
    rest.remove_prefix(piece.size());
  }
}

std::string_view large_value::Piece(std::uint64_t digest) const {
  const auto found = by_digest_.find(digest);
  return found == by_digest_.end() ? std::string_view() : found->second;
}

std::string PackPiece(std::string_view piece) {
  uLongf size = compressBound(piece.size());
  std::string packed(size, '\0');
  const int status = compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                               reinterpret_cast<const Bytef*>(piece.data()),
                               piece.size(), Z_BEST_SPEED);
  packed.resize(status == Z_OK ? size : 0);
  return packed;
}

std::optional<std::string> UnpackPiece(std::string_view packed,
                                       std::size_t bytes) {
  uLongf size = bytes;
  std::string piece(bytes, '\0');
  const int status =
      uncompress(reinterpret_cast<Bytef*>(piece.data()), &size,
                 reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  if (status != Z_OK || size != bytes) {
    return std::nullopt;
  }
  return piece;
}

}  // namespace slatestall
