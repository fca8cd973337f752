#include "slatestall/model/sha256.h"

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace slatestall {
namespace {

constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kLengthBytes = 8;

constexpr std::array<std::uint32_t, 64> kRoundConstants{
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1,
    0x923f82a4, 0xab1c5ed5, 0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3,
    0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174, 0xe49b69c1, 0xefbe4786,
    0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147,
    0x06ca6351, 0x14292967, 0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13,
    0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85, 0xa2bfe8a1, 0xa81a664b,
    0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a,
    0x5b9cca4f, 0x682e6ff3, 0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208,
    0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2};

using state = std::array<std::uint32_t, 8>;

constexpr state kInitialState{0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a,
                              0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19};

using schedule = std::array<std::uint32_t, 64>;

schedule ScheduleOf(std::string_view block) {
  schedule words{};
  for (std::size_t i = 0; i < kBlockBytes; ++i) {
    words[i / 4] = (words[i / 4] << 8U) | static_cast<unsigned char>(block[i]);
  }
  for (std::size_t i = 16; i < words.size(); ++i) {
    const std::uint32_t a = words[i - 15];
    const std::uint32_t b = words[i - 2];
    const std::uint32_t mixed_a =
        std::rotr(a, 7) ^ std::rotr(a, 18) ^ (a >> 3U);
    const std::uint32_t mixed_b =
        std::rotr(b, 17) ^ std::rotr(b, 19) ^ (b >> 10U);
    words[i] = words[i - 16] + mixed_a + words[i - 7] + mixed_b;
  }
  return words;
}

// One round as FIPS 180-4, 6.2.2 step 3; the letters are those of the text.
void Round(state& s, std::uint32_t constant, std::uint32_t word) {
  auto& [a, b, c, d, e, f, g, h] = s;
  const std::uint32_t sum1 =
      std::rotr(e, 6) ^ std::rotr(e, 11) ^ std::rotr(e, 25);
  const std::uint32_t choice = (e & f) ^ (~e & g);
  const std::uint32_t t1 = h + sum1 + choice + constant + word;
  const std::uint32_t sum0 =
      std::rotr(a, 2) ^ std::rotr(a, 13) ^ std::rotr(a, 22);
  const std::uint32_t majority = (a & b) ^ (a & c) ^ (b & c);
  s = {t1 + sum0 + majority, a, b, c, d + t1, e, f, g};
}

void Compress(state& digest, std::string_view block) {
  const schedule words = ScheduleOf(block);
  state working = digest;
  for (std::size_t i = 0; i < words.size(); ++i) {
    Round(working, kRoundConstants[i], words[i]);
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    digest[i] += working[i];
  }
}

// The last bytes, the 1 bit, zeros and the length in bits: one or two blocks.
std::string PaddedTail(std::string_view tail, std::uint64_t total_bytes) {
  std::string padded(tail);
  padded.push_back('\x80');
  while (padded.size() % kBlockBytes != kBlockBytes - kLengthBytes) {
    padded.push_back('\0');
  }
  const std::uint64_t bits = total_bytes * 8;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    padded.push_back(static_cast<char>(bits >> (56 - 8 * i)));
  }
  return padded;
}

std::string HexOf(const state& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint32_t word : digest) {
    for (int shift = 28; shift >= 0; shift -= 4) {
      text.push_back(kDigits[(word >> static_cast<unsigned>(shift)) & 15U]);
    }
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  state digest = kInitialState;
  std::string_view rest = bytes;
  for (; rest.size() >= kBlockBytes; rest.remove_prefix(kBlockBytes)) {
    Compress(digest, rest.substr(0, kBlockBytes));
  }
  const std::string padded = PaddedTail(rest, bytes.size());
  for (std::string_view tail = padded; !tail.empty();
       tail.remove_prefix(kBlockBytes)) {
    Compress(digest, tail.substr(0, kBlockBytes));
  }
  return HexOf(digest);
}

}  // namespace slatestall
