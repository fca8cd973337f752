#include "slatestall/http/answer_head.h"

#include <algorithm>

#include "slatestall/http/ascii_case.h"
#include "slatestall/http/header_check.h"

namespace slatestall {
namespace {

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kLastStatus = 599;
constexpr const char* kLength = "Content-Length";
constexpr const char* kCoding = "Transfer-Encoding";

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

auto CountOf(const http_headers& headers, std::string_view name) {
  return std::count_if(headers.begin(), headers.end(),
                       [name](const http_header& header) {
                         return EqualsIgnoringCase(header.name, name);
                       });
}

}  // namespace

std::optional<int> StatusOf(std::string_view first_line) {
  if (!first_line.starts_with(kVersion)) {
    return std::nullopt;
  }
  first_line.remove_prefix(kVersion.size());
  constexpr std::size_t kLeast = 2 + kStatusDigits;  // Minor version, blank.
  if (first_line.size() < kLeast || !IsDigit(first_line[0]) ||
      first_line[1] != ' ' ||
      (first_line.size() > kLeast && first_line[kLeast] != ' ')) {
    return std::nullopt;
  }
  int status = 0;
  for (const char digit : first_line.substr(2, kStatusDigits)) {
    if (!IsDigit(digit)) {
      return std::nullopt;
    }
    status = status * 10 + (digit - '0');
  }
  const bool is_known = status >= kFirstStatus && status <= kLastStatus;
  return is_known ? std::optional(status) : std::nullopt;
}

bool IsInterimStatus(int status) { return status < kFirstFinalStatus; }

bool HasNoBody(int status) {
  return IsInterimStatus(status) || status == kNoContent ||
         status == kNotModified;
}

bool FramingIsPlain(const http_headers& headers) {
  const auto codings = CountOf(headers, kCoding);
  const auto lengths = CountOf(headers, kLength);
  if (codings > 1 || lengths > 1 || (codings > 0 && lengths > 0)) {
    return false;
  }
  return codings == 0 ||
         EqualsIgnoringCase(FindHeader(headers, kCoding), "chunked");
}

bool IsAnswerHead(int status, const http_headers& headers) {
  if (!HeadersAreSafe(headers) || !FramingIsPlain(headers) ||
      status == kSwitchingProtocols) {
    return false;
  }
  // A 304 tells the length that a 200 would have.
  const bool tells_no_length = HasNoBody(status) && status != kNotModified;
  const auto length = FindHeader(headers, kLength);
  return !tells_no_length ||
         (CountOf(headers, kCoding) == 0 && (length.empty() || length == "0"));
}

}  // namespace slatestall
