#include "slatestall/node/byte_coder.h"

#include <cstdint>
#include <vector>

// A binary range coder. Each bit of a byte has a probability of its own by the
// bits of the byte before it and by the whole byte before that one; it moves
// towards what is seen.
namespace slatestall {
namespace {

constexpr std::uint32_t kOne = 1U << 16U;
constexpr std::uint32_t kLeast = 48;  // No bit is taken for impossible.
constexpr unsigned kRate = 4;
constexpr std::uint32_t kTopByte = 0xff000000U;
constexpr int kFlushBytes = 4;

/// Probabilities, and the span of numbers that stands for what was coded.
class bit_model {
 public:
  /// Splits the span; what is up to the result stands for 1.
  std::uint32_t Split() const {
    const std::uint64_t span = high - low;
    return low + static_cast<std::uint32_t>((span * Chance()) >> 16U);
  }

  void Take(bool bit, std::uint32_t split) {
    (bit ? high : low) = bit ? split : split + 1;
    std::uint32_t& chance = chances_[before_ * 256 + node_];
    if (bit) {
      chance += (kOne - kLeast - chance) >> kRate;
    } else {
      chance -= (chance - kLeast) >> kRate;
    }
    node_ = node_ * 2 + (bit ? 1 : 0);
    if (node_ >= 256) {
      before_ = node_ - 256;
      node_ = 1;
    }
  }

  bool TopByteIsSettled() const { return ((low ^ high) & kTopByte) == 0; }

  void DropTopByte() {
    low <<= 8U;
    high = (high << 8U) | 0xffU;
  }

  std::uint32_t low = 0;
  std::uint32_t high = 0xffffffffU;

 private:
  std::uint32_t Chance() const { return chances_[before_ * 256 + node_]; }

  std::vector<std::uint32_t> chances_ =
      std::vector<std::uint32_t>(std::size_t{256} * 256, kOne / 2);
  std::size_t before_ = 0;  ///< The byte before this one.
  std::size_t node_ = 1;    ///< The bits of this byte so far, after a 1.
};

}  // namespace

std::string CodeBytes(std::string_view bytes) {
  std::string coded;
  bit_model model;
  for (const char each : bytes) {
    const auto byte = static_cast<std::uint8_t>(each);
    for (unsigned shift = 8; shift-- > 0;) {
      model.Take(((byte >> shift) & 1U) != 0, model.Split());
      while (model.TopByteIsSettled()) {
        coded.push_back(static_cast<char>(model.high >> 24U));
        model.DropTopByte();
      }
    }
  }
  for (int i = 0; i < kFlushBytes; ++i) {
    coded.push_back(static_cast<char>(model.low >> 24U));
    model.low <<= 8U;
  }
  return coded;
}

std::optional<std::string> DecodeBytes(std::string_view coded,
                                       std::size_t length) {
  std::size_t next = 0;
  std::uint32_t number = 0;
  const auto shift_in = [&] {
    const char byte = next < coded.size() ? coded[next] : '\0';
    number = (number << 8U) | static_cast<std::uint8_t>(byte);
    ++next;
  };
  for (int i = 0; i < kFlushBytes; ++i) {
    shift_in();
  }
  std::string bytes;
  bit_model model;
  while (bytes.size() < length) {
    unsigned byte = 0;
    for (int i = 0; i < 8; ++i) {
      const std::uint32_t split = model.Split();
      const bool bit = number <= split;
      model.Take(bit, split);
      byte = byte * 2 + (bit ? 1 : 0);
      while (model.TopByteIsSettled()) {
        model.DropTopByte();
        shift_in();
      }
    }
    if (next > coded.size()) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<char>(byte));
  }
  return bytes;
}

}  // namespace slatestall
