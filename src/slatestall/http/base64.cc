#include "slatestall/http/base64.h"

#include <cstdint>

namespace slatestall {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

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

std::optional<std::string> BytesOfBase64(std::string_view base64) {
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

}  // namespace slatestall
