#include "slatestall/gateway/offered_values.h"

#include <algorithm>

namespace slatestall {
namespace {

constexpr std::size_t kKept = 2;  ///< Values of one key.

}  // namespace

void offered_values::Offer(const std::string& topic, const std::string& key,
                           const large_value_ptr& value) {
  auto& values = values_[{topic, key}];
  if (!values.empty() && values.front() == value) {
    return;
  }
  values.push_front(value);
  if (values.size() > kKept) {
    values.resize(kKept);
    std::erase_if(packed_, [this](const auto& piece) {
      return Find(piece.first).empty();
    });
  }
}

const std::string* offered_values::Packed(std::uint64_t digest) {
  auto found = packed_.find(digest);
  if (found == packed_.end()) {
    const auto piece = Find(digest);
    if (piece.empty()) {
      return nullptr;
    }
    found = packed_.emplace(digest, PackPiece(piece)).first;
  }
  return &found->second;
}

std::string_view offered_values::Find(std::uint64_t digest) const {
  for (const auto& [key, values] : values_) {
    for (const auto& value : values) {
      const auto piece = value->Piece(digest);
      if (!piece.empty()) {
        return piece;
      }
    }
  }
  return {};
}

}  // namespace slatestall
