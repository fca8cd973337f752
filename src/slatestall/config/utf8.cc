#include "slatestall/config/utf8.h"

#include <cstdint>

namespace slatestall {
namespace {

struct sequence_form {
  std::size_t length;  // 0: no sequence starts with this byte.
  std::uint32_t smallest;
  std::uint32_t first_bits;
};

sequence_form FormOf(unsigned char first) {
  if (first < 0x80U) {
    return {1, 1, first};
  }
  if ((first & 0xe0U) == 0xc0U) {
    return {2, 0x80, first & 0x1fU};
  }
  if ((first & 0xf0U) == 0xe0U) {
    return {3, 0x800, first & 0x0fU};
  }
  if ((first & 0xf8U) == 0xf0U) {
    return {4, 0x10000, first & 0x07U};
  }
  return {0, 0, 0};
}

// Length of the sequence at the start of `text`, 0 where it is ill-formed.
std::size_t SequenceLength(std::string_view text) {
  const sequence_form form = FormOf(static_cast<unsigned char>(text.front()));
  if (form.length == 0 || form.length > text.size()) {
    return 0;
  }
  std::uint32_t code = form.first_bits;
  for (std::size_t i = 1; i < form.length; ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    if ((byte & 0xc0U) != 0x80U) {
      return 0;
    }
    code = (code << 6U) | (byte & 0x3fU);
  }
  const bool is_surrogate = code >= 0xd800U && code <= 0xdfffU;
  if (code < form.smallest || code > 0x10ffffU || is_surrogate) {
    return 0;
  }
  return form.length;
}

}  // namespace

std::optional<std::size_t> FirstBadByte(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t length = SequenceLength(text.substr(at));
    if (length == 0) {
      return at;
    }
    at += length;
  }
  return std::nullopt;
}

}  // namespace slatestall
