#include "slatestall/model/ids.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>

namespace slatestall {
namespace {

std::string HexText(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));  // NOLINT
  return text.data();
}

}  // namespace

request_id_source::request_id_source(const host_id& host, unsigned lane)
    : prefix_(host.name + "." + HexText(host.incarnation) + "." +
              std::to_string(lane) + "-") {}

request_id request_id_source::Next() {
  return {prefix_ + std::to_string(next_++)};
}

std::string attempt_id::Text() const {
  return request.text + "/" + std::to_string(stage) + "/" +
         std::to_string(attempt);
}

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::string StableHashText(std::string_view bytes, std::uint64_t seed) {
  return HexText(StableHash(bytes, seed));
}

std::uint64_t RandomBits() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace slatestall
