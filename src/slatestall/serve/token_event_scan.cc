#include "slatestall/serve/token_event_scan.h"

#include <cstddef>
#include <utility>

#include "slatestall/serve/json_text.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxDigits = 15;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kFirstNonAscii = 0x80;
constexpr std::uint64_t kTen = 10;

enum field : unsigned { kId = 1, kOffset = 2, kCount = 4, kText = 8 };
constexpr unsigned kAllFields = kId | kOffset | kCount | kText;

std::optional<char> Unescaped(char c) {
  switch (c) {
    case '"':
    case '\\':
    case '/':
      return c;
    case 'b':
      return '\b';
    case 'f':
      return '\f';
    case 'n':
      return '\n';
    case 'r':
      return '\r';
    case 't':
      return '\t';
    default:
      return std::nullopt;
  }
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

/// Every step returns false where the data leaves the narrow form.
class event_scanner {
 public:
  explicit event_scanner(std::string_view data) : left_(data) {}

  std::optional<scanned_event> Scan() {
    if (!Take('{')) {
      return std::nullopt;
    }
    do {
      if (!TakeMember()) {
        return std::nullopt;
      }
    } while (Take(','));
    if (seen_ != kAllFields || !Take('}')) {
      return std::nullopt;
    }
    SkipBlanks();
    if (!left_.empty()) {
      return std::nullopt;
    }
    return std::move(event_);
  }

 private:
  void SkipBlanks() {
    while (!left_.empty() && (left_[0] == ' ' || left_[0] == '\n' ||
                              left_[0] == '\t' || left_[0] == '\r')) {
      left_.remove_prefix(1);
    }
  }

  bool Take(char wanted) {
    SkipBlanks();
    if (!left_.starts_with(wanted)) {
      return false;
    }
    left_.remove_prefix(1);
    return true;
  }

  bool TakeMember() {
    std::string_view name;
    if (!TakePlainString(name) || !Take(':')) {
      return false;
    }
    if (name == "id") {
      return Mark(kId) && TakePlainString(event_.id);
    }
    if (name == "offset") {
      return Mark(kOffset) && TakeNumber(event_.offset);
    }
    if (name == "count") {
      return Mark(kCount) && TakeNumber(event_.count);
    }
    return name == "text" && Mark(kText) && TakeText();
  }

  /// The parser keeps the last of two members of one name.
  bool Mark(field which) {
    if ((seen_ & which) != 0) {
      return false;
    }
    seen_ |= which;
    return true;
  }

  /// Printable ASCII without escapes.
  bool TakePlainString(std::string_view& taken) {
    if (!Take('"')) {
      return false;
    }
    std::size_t at = 0;
    for (; at < left_.size() && left_[at] != '"'; ++at) {
      const auto byte = static_cast<unsigned char>(left_[at]);
      if (byte < kFirstPrintable || byte >= kFirstNonAscii || byte == '\\') {
        return false;
      }
    }
    if (at == left_.size()) {
      return false;
    }
    taken = left_.substr(0, at);
    left_.remove_prefix(at + 1);
    return true;
  }

  bool TakeNumber(std::uint64_t& taken) {
    SkipBlanks();
    std::size_t digits = 0;
    taken = 0;
    for (; digits < left_.size() && IsDigit(left_[digits]); ++digits) {
      if (digits == kMaxDigits) {
        return false;
      }
      taken = taken * kTen + static_cast<std::uint64_t>(left_[digits] - '0');
    }
    const bool has_leading_zero = digits > 1 && left_[0] == '0';
    if (digits == 0 || has_leading_zero) {
      return false;
    }
    left_.remove_prefix(digits);
    return true;
  }

  bool TakeText() {
    if (!Take('"')) {
      return false;
    }
    std::size_t copied = 0;
    std::size_t at = 0;
    while (at < left_.size() && left_[at] != '"') {
      const auto byte = static_cast<unsigned char>(left_[at]);
      if (byte < kFirstPrintable) {
        return false;
      }
      if (byte == '\\') {
        event_.text.append(left_.substr(copied, at - copied));
        if (!TakeEscape(at)) {
          return false;
        }
        copied = at;
        continue;
      }
      const std::size_t bytes =
          byte < kFirstNonAscii ? 1 : Utf8CharacterBytes(left_.substr(at));
      if (bytes == 0) {
        return false;
      }
      at += bytes;
    }
    if (at == left_.size()) {
      return false;
    }
    event_.text.append(left_.substr(copied, at - copied));
    left_.remove_prefix(at + 1);
    return true;
  }

  bool TakeEscape(std::size_t& at) {
    if (at + 1 >= left_.size()) {
      return false;
    }
    const auto c = Unescaped(left_[at + 1]);
    if (!c) {
      return false;
    }
    event_.text.push_back(*c);
    at += 2;
    return true;
  }

  std::string_view left_;
  unsigned seen_ = 0;
  scanned_event event_;
};

}  // namespace

std::optional<scanned_event> ScanTokenEvent(std::string_view data) {
  return event_scanner(data).Scan();
}

}  // namespace slatestall
