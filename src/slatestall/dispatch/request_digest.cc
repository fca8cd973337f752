#include "slatestall/dispatch/request_digest.h"

#include <array>
#include <charconv>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

constexpr std::size_t kDigits = 16;
constexpr int kHexadecimal = 16;
/// Set in digests of parts, and in no other.
constexpr request_digest kPartBit = request_digest{1} << 63U;

}  // namespace

/// Each part seeds the hash of the next, so that bytes that move from one part
/// to another make another digest.
request_digest DigestOf(const request_content& content) {
  request_digest digest = StableHash(content.host);
  digest = StableHash(content.method, digest);
  digest = StableHash(content.target, digest);
  digest = StableHash(content.workspace, digest);
  return StableHash(content.body, digest) & ~kPartBit;
}

request_digest DigestOfPart(std::string_view part) {
  return StableHash(part) | kPartBit;
}

bool IsOfPart(request_digest digest) { return (digest & kPartBit) != 0; }

std::string DigestText(request_digest digest) {
  std::array<char, kDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 digest, kHexadecimal);
  const std::string text(digits.data(), end.ptr);
  return std::string(kDigits - text.size(), '0') + text;
}

std::optional<request_digest> DigestIn(std::string_view text) {
  request_digest digest = 0;
  const auto* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, digest, kHexadecimal);
  if (text.size() != kDigits || read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return digest;
}

}  // namespace slatestall
