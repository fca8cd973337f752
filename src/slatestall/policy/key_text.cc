#include "slatestall/policy/key_text.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace slatestall {
namespace {

constexpr std::string_view kPrefix = "h1.";
constexpr char kDot = '.';
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

std::optional<std::uint64_t> NumberIn(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

// Takes the part behind the last dot off `text`. Host names may hold dots, so
// keys are read from their end.
std::optional<std::string_view> TakeLast(std::string_view& text) {
  const std::size_t dot = text.rfind(kDot);
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view last = text.substr(dot + 1);
  text = text.substr(0, dot);
  return last;
}

std::string HexText(std::uint64_t value) {
  std::array<char, kHexadecimal> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value, kHexadecimal);
  return {digits.data(), end.ptr};
}

}  // namespace

bool LooksMinted(std::string_view key) { return key.starts_with(kPrefix); }

std::optional<minted_key> ParseMintedKey(std::string_view key) {
  if (!LooksMinted(key)) {
    return std::nullopt;
  }
  std::string_view rest = key.substr(kPrefix.size());
  const auto check = TakeLast(rest);
  const auto number_text = check ? TakeLast(rest) : std::nullopt;
  const auto home = number_text ? ParseHostText(rest) : std::nullopt;
  if (!home || check->empty()) {
    return std::nullopt;
  }
  const auto number = NumberIn(*number_text, kDecimal);
  if (!number) {
    return std::nullopt;
  }
  return minted_key{*home, *number, std::string(*check)};
}

std::string MintedKeyText(const minted_key& key) {
  std::string text(kPrefix);
  text += HostText(key.home);
  text += kDot;
  text += std::to_string(key.number);
  text += kDot;
  text += key.check;
  return text;
}

std::string HostText(const host_id& host) {
  return host.name + kDot + HexText(host.incarnation);
}

std::optional<host_id> ParseHostText(std::string_view text) {
  std::string_view name = text;
  const auto digits = TakeLast(name);
  const auto incarnation =
      digits ? NumberIn(*digits, kHexadecimal) : std::nullopt;
  if (!incarnation || name.empty()) {
    return std::nullopt;
  }
  return host_id{std::string(name), *incarnation};
}

}  // namespace slatestall
