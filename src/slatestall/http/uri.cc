#include "slatestall/http/uri.h"

#include <curl/curl.h>

#include <memory>
#include <new>
#include <utility>

namespace slatestall {
namespace {

constexpr int kNotHex = -1;
constexpr int kHexBase = 16;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return kNotHex;
}

}  // namespace

std::string EncodeUriText(std::string_view text) {
  if (text.empty()) {
    return {};  // libcurl takes a length of 0 for a text that ends with NUL.
  }
  const std::unique_ptr<char, decltype(&curl_free)> encoded(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      &curl_free);
  if (encoded == nullptr) {
    throw std::bad_alloc();
  }
  return encoded.get();
}

std::string UrlWithQuery(std::string url, const query_fields& fields) {
  char separator = '?';
  for (const auto& [name, value] : fields) {
    url += std::exchange(separator, '&') + EncodeUriText(name) + '=' +
           EncodeUriText(value);
  }
  return url;
}

std::string DecodeQueryText(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const int high = HexDigit(text[i + 1]);
      const int low = HexDigit(text[i + 2]);
      if (high != kNotHex && low != kNotHex) {
        decoded.push_back(static_cast<char>(high * kHexBase + low));
        i += 2;
        continue;
      }
    }
    decoded.push_back(text[i] == '+' ? ' ' : text[i]);
  }
  return decoded;
}

std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (DecodeQueryText(pair.substr(0, equals)) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : DecodeQueryText(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    query.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace slatestall
