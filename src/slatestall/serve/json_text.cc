#include "slatestall/serve/json_text.h"

#include <array>

namespace slatestall {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kFirstNonAscii = 0x80;
constexpr unsigned kHexShift = 4;
constexpr unsigned kHexMask = 0xF;

unsigned char ByteAt(std::string_view text, std::size_t at) {
  return static_cast<unsigned char>(text[at]);
}

/// How a lead byte goes on: how long the character is, and which second bytes
/// keep it shortest-form, no surrogate and below U+110000.
struct utf8_form {
  unsigned char first_lead;
  unsigned char last_lead;
  std::size_t bytes;
  unsigned char least_second;
  unsigned char most_second;
};

constexpr std::array kUtf8Forms{
    utf8_form{0xC2, 0xDF, 2, 0x80, 0xBF}, utf8_form{0xE0, 0xE0, 3, 0xA0, 0xBF},
    utf8_form{0xE1, 0xEC, 3, 0x80, 0xBF}, utf8_form{0xED, 0xED, 3, 0x80, 0x9F},
    utf8_form{0xEE, 0xEF, 3, 0x80, 0xBF}, utf8_form{0xF0, 0xF0, 4, 0x90, 0xBF},
    utf8_form{0xF1, 0xF3, 4, 0x80, 0xBF}, utf8_form{0xF4, 0xF4, 4, 0x80, 0x8F},
};

bool IsContinuation(unsigned char byte) { return byte >= 0x80 && byte <= 0xBF; }

bool Fits(const utf8_form& form, std::string_view text) {
  if (text.size() < form.bytes || ByteAt(text, 1) < form.least_second ||
      ByteAt(text, 1) > form.most_second) {
    return false;
  }
  for (std::size_t at = 2; at < form.bytes; ++at) {
    if (!IsContinuation(ByteAt(text, at))) {
      return false;
    }
  }
  return true;
}

void AppendEscaped(std::string& out, char c) {
  switch (c) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\b':
      out += "\\b";
      return;
    case '\f':
      out += "\\f";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto code = static_cast<unsigned char>(c);
  out += "\\u00";
  out += kDigits[code >> kHexShift];
  out += kDigits[code & kHexMask];
}

}  // namespace

std::size_t Utf8CharacterBytes(std::string_view text) {
  const unsigned char lead = ByteAt(text, 0);
  if (lead < kFirstNonAscii) {
    return 1;
  }
  for (const utf8_form& form : kUtf8Forms) {
    if (lead >= form.first_lead && lead <= form.last_lead) {
      return Fits(form, text) ? form.bytes : 0;
    }
  }
  return 0;
}

bool AppendJsonString(std::string& out, std::string_view text) {
  const std::size_t before = out.size();
  out += '"';
  std::size_t copied = 0;
  std::size_t at = 0;
  while (at < text.size()) {
    const unsigned char byte = ByteAt(text, at);
    if (byte >= kFirstNonAscii) {
      const std::size_t bytes = Utf8CharacterBytes(text.substr(at));
      if (bytes == 0) {
        out.resize(before);
        return false;
      }
      at += bytes;
      continue;
    }
    if (byte < kFirstPrintable || byte == '"' || byte == '\\') {
      out.append(text.substr(copied, at - copied));
      AppendEscaped(out, text[at]);
      copied = at + 1;
    }
    ++at;
  }
  out.append(text.substr(copied));
  out += '"';
  return true;
}

}  // namespace slatestall
