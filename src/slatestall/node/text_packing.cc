#include "slatestall/node/text_packing.h"

#include <cstdint>
#include <cstring>
#include <vector>

#include "slatestall/model/ids.h"
#include "slatestall/node/byte_coder.h"

// Packed bytes: the length of the text, its hash, the length of the steps, and
// the steps as CodeBytes has them. Steps, until the length is reached: a count
// of bytes that follow as they are, these bytes, a count of bytes to repeat
// and, where it is not 0, how far back they are. Numbers are little-endian
// groups of seven bits.
namespace slatestall {
namespace {

constexpr std::size_t kShortestRepeat = 6;
constexpr std::size_t kHashBytes = 4;
constexpr unsigned kTableBits = 15;
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

void PutNumber(std::string& out, std::uint64_t number) {
  while (number >= 0x80U) {
    out.push_back(static_cast<char>(0x80U | (number & 0x7fU)));
    number >>= 7U;
  }
  out.push_back(static_cast<char>(number));
}

std::optional<std::uint64_t> TakeNumber(std::string_view& in) {
  std::uint64_t number = 0;
  for (unsigned shift = 0; shift < 64 && !in.empty(); shift += 7) {
    const auto byte = static_cast<std::uint8_t>(in.front());
    in.remove_prefix(1);
    number |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
    if ((byte & 0x80U) == 0) {
      return number;
    }
  }
  return std::nullopt;
}

std::uint32_t HashAt(std::string_view text, std::size_t at) {
  std::uint32_t bytes = 0;
  std::memcpy(&bytes, text.data() + at, kHashBytes);
  return (bytes * 2654435761U) >> (32U - kTableBits);
}

std::size_t SameBytes(std::string_view text, std::size_t from, std::size_t at) {
  std::size_t count = 0;
  while (at + count < text.size() && text[from + count] == text[at + count]) {
    ++count;
  }
  return count;
}

std::string Steps(std::string_view text) {
  std::string out;
  std::vector<std::size_t> last(std::size_t{1} << kTableBits, text.size());
  std::size_t plain_from = 0;
  std::size_t at = 0;
  const auto put_plain = [&](std::size_t to) {
    PutNumber(out, to - plain_from);
    out.append(text.substr(plain_from, to - plain_from));
  };
  while (at + kShortestRepeat <= text.size()) {
    std::size_t& before = last[HashAt(text, at)];
    const std::size_t from = before;
    before = at;
    const std::size_t same = from < at ? SameBytes(text, from, at) : 0;
    if (same < kShortestRepeat) {
      ++at;
      continue;
    }
    put_plain(at);
    PutNumber(out, same);
    PutNumber(out, at - from);
    at += same;
    plain_from = at;
  }
  if (plain_from < text.size()) {
    put_plain(text.size());
    PutNumber(out, 0);
  }
  return out;
}

std::string Base64(std::string_view bytes) {
  std::string text;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char byte : bytes) {
    bits = (bits << 8U) | static_cast<std::uint8_t>(byte);
    for (count += 8; count >= 6; count -= 6) {
      text.push_back(kAlphabet[(bits >> (count - 6)) & 0x3fU]);
    }
  }
  if (count > 0) {
    text.push_back(kAlphabet[(bits << (6 - count)) & 0x3fU]);
  }
  return text;
}

std::optional<std::string> BytesOf(std::string_view base64) {
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char symbol : base64) {
    const auto value = kAlphabet.find(symbol);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes.push_back(static_cast<char>((bits >> count) & 0xffU));
    }
  }
  return bytes;
}

/// One step; false where it reads or writes past the end.
bool TakeStep(std::string_view& in, std::string& text, std::size_t length) {
  const auto plain = TakeNumber(in);
  if (!plain || *plain > in.size() || *plain > length - text.size()) {
    return false;
  }
  text.append(in.substr(0, *plain));
  in.remove_prefix(*plain);
  const auto repeat = TakeNumber(in);
  if (!repeat || *repeat > length - text.size() || *plain + *repeat == 0) {
    return false;
  }
  if (*repeat == 0) {
    return true;
  }
  const auto back = TakeNumber(in);
  if (!back || *back == 0 || *back > text.size()) {
    return false;
  }
  for (std::uint64_t i = 0; i < *repeat; ++i) {
    text.push_back(text[text.size() - *back]);
  }
  return true;
}

}  // namespace

std::string PackText(std::string_view text) {
  if (text.size() > kMaxPackedText) {
    return {};
  }
  std::string bytes;
  PutNumber(bytes, text.size());
  PutNumber(bytes, StableHash(text));
  const std::string steps = Steps(text);
  PutNumber(bytes, steps.size());
  bytes += CodeBytes(steps);
  std::string packed = Base64(bytes);
  return packed.size() < text.size() ? packed : std::string{};
}

std::optional<std::string> UnpackText(std::string_view packed) {
  const auto bytes = BytesOf(packed);
  if (!bytes) {
    return std::nullopt;
  }
  std::string_view in = *bytes;
  const auto length = TakeNumber(in);
  const auto hash = TakeNumber(in);
  const auto step_bytes = TakeNumber(in);
  if (!length || !hash || !step_bytes || *length > kMaxPackedText ||
      *step_bytes > 2 * kMaxPackedText) {
    return std::nullopt;
  }
  const auto steps = DecodeBytes(in, *step_bytes);
  if (!steps) {
    return std::nullopt;
  }
  in = *steps;
  std::string text;
  while (text.size() < *length) {
    if (!TakeStep(in, text, *length)) {
      return std::nullopt;
    }
  }
  if (!in.empty() || StableHash(text) != *hash) {
    return std::nullopt;
  }
  return text;
}

}  // namespace slatestall
