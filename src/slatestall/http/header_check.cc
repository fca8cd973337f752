#include "slatestall/http/header_check.h"

#include <algorithm>

namespace slatestall {
namespace {

constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";

bool IsTokenCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || kTokenSymbols.find(c) != std::string_view::npos;
}

}  // namespace

bool BreaksTheLine(char c) { return c == '\r' || c == '\n' || c == '\0'; }

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool HeadersAreSafe(const http_headers& headers) {
  return std::all_of(headers.begin(), headers.end(),
                     [](const http_header& header) {
                       return IsToken(header.name) &&
                              std::none_of(header.value.begin(),
                                           header.value.end(), BreaksTheLine);
                     });
}

}  // namespace slatestall
