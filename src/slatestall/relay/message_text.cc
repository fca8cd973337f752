#include "slatestall/relay/message_text.h"

#include <algorithm>
#include <cstddef>

#include "slatestall/http/header_check.h"
#include "slatestall/http/status_phrase.h"

namespace slatestall {
namespace {

/// A value can end neither its field nor the head (RFC 9110, 5.5).
void AppendValue(std::string& text, std::string_view value) {
  const auto begin = text.size();
  text += value;
  std::replace_if(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(),
                  BreaksTheLine, ' ');
}

void AppendFields(std::string& text, const http_headers& headers) {
  for (const auto& header : headers) {
    text += header.name;
    text += ": ";
    AppendValue(text, header.value);
    text += "\r\n";
  }
  text += "\r\n";
}

}  // namespace

std::string RequestHeadText(std::string_view method, std::string_view target,
                            const http_headers& headers) {
  std::string text;
  text += method;
  text += ' ';
  text += target;
  text += " HTTP/1.1\r\n";
  AppendFields(text, headers);
  return text;
}

std::string AnswerHeadText(int status, const http_headers& headers) {
  std::string text = "HTTP/1.1 ";
  text += std::to_string(status);
  text += ' ';
  text += StatusPhrase(status);
  text += "\r\n";
  AppendFields(text, headers);
  return text;
}

}  // namespace slatestall
