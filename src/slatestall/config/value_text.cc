#include "slatestall/config/value_text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace slatestall {
namespace {

constexpr std::size_t kLongestShown = 64;
constexpr std::size_t kLongestName = 64;
constexpr std::size_t kDigestDigits = 64;
constexpr unsigned kLastPort = 65535;
constexpr std::string_view kScheme = "http://";

bool IsIpNumber(std::string_view text) {
  std::string host(text);
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), bytes.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1;
}

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsNameCharacter(char c) {
  return IsAlphanumeric(c) || c == '.' || c == '_' || c == '-';
}

}  // namespace

std::string Shortened(std::string_view text) {
  std::string shortened(text.substr(0, kLongestShown));
  for (char& c : shortened) {
    const bool is_control = static_cast<unsigned char>(c) < 0x20U || c == 0x7f;
    c = is_control ? ' ' : c;
  }
  if (text.size() <= kLongestShown) {
    return shortened;
  }
  // A cut may not leave half a character: JSON takes whole ones only.
  while (!shortened.empty() &&
         (static_cast<unsigned char>(shortened.back()) & 0x80U) != 0) {
    shortened.pop_back();
  }
  return shortened + "...";
}

std::string Quoted(std::string_view text) {
  return "'" + Shortened(text) + "'";
}

std::string Listed(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) {
    list += (list.empty() ? "" : ", ") + text;
  }
  return list;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kLongestName &&
         IsAlphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::string AddressProblem(std::string_view text, bool port_needed) {
  std::string expected =
      "expected IP:port such as 10.0.0.7:8000, found " + Quoted(text);
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsIpNumber(text.substr(0, colon))) {
    return expected;
  }
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const char* end = digits.data() + digits.size();  // NOLINT
  const auto result = std::from_chars(digits.data(), end, port);
  if (digits.empty() || result.ec != std::errc() || result.ptr != end) {
    return expected;
  }
  const unsigned first = port_needed ? 1 : 0;
  if (port < first || port > kLastPort) {
    return "port " + std::string(digits) +
           " is out of range: " + std::to_string(first) + " to " +
           std::to_string(kLastPort);
  }
  return "";
}

std::string UrlProblem(std::string_view text) {
  const bool fits = text.starts_with(kScheme) &&
                    AddressProblem(text.substr(kScheme.size()), true).empty();
  return fits ? ""
              : "expected http://IP:port such as http://10.0.0.7:9000, found " +
                    Quoted(text);
}

bool IsDigest(std::string_view text) {
  const auto is_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kDigestDigits &&
         std::all_of(text.begin(), text.end(), is_digit);
}

}  // namespace slatestall
