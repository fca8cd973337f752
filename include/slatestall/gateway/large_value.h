#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace slatestall {

/// @brief Part of a large value, named by its content.
/// @ingroup gateway
struct value_piece {
  std::uint64_t digest = 0;
  std::uint32_t bytes = 0;

  friend bool operator==(const value_piece&, const value_piece&) = default;
};

/// @brief A large value by its pieces, in order.
struct value_outline {
  std::uint64_t digest = 0;  ///< Of all its bytes.
  std::vector<value_piece> pieces;

  /// @brief Of the value.
  std::size_t Bytes() const;

  friend bool operator==(const value_outline&, const value_outline&) = default;
};

/// @brief A value too large for one message between hosts. Immutable.
///
/// It is cut into pieces where its content says so: a change replaces the
/// pieces around it, and leaves those before and after as they were.
class large_value {
 public:
  /// Smaller values are passed on whole.
  static constexpr std::size_t kMinBytes = std::size_t{32} << 10U;

  explicit large_value(std::string bytes);
  large_value(const large_value&) = delete;
  large_value& operator=(const large_value&) = delete;

  const std::string& Bytes() const { return bytes_; }
  const value_outline& Outline() const { return outline_; }
  /// @returns empty where it has no such piece.
  std::string_view Piece(std::uint64_t digest) const;

 private:
  const std::string bytes_;
  value_outline outline_;
  std::unordered_map<std::uint64_t, std::string_view> by_digest_;
};
using large_value_ptr = std::shared_ptr<const large_value>;

/// @brief A piece as it goes to other hosts: a zlib stream.
std::string PackPiece(std::string_view piece);
/// @returns nothing where that is no stream of a piece of so many bytes.
std::optional<std::string> UnpackPiece(std::string_view packed,
                                       std::size_t bytes);

}  // namespace slatestall
