#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace slatestall {

/// @brief Bytes that peers have left unread, by connection, and the connection
/// to close while their sum is above a limit.
///
/// Has no sockets; its owner closes what it names. Used from one thread only,
/// `Total` excepted.
/// @ingroup relay
class unread_budget {
 public:
  using connection_id = std::uint64_t;

  /// Connections with less are never closed: many of them together would have
  /// to go before it helped, and most of them are read.
  static constexpr std::size_t kSmallestClosed = std::size_t{64} << 10U;

  /// @param limit Of the sum over all connections.
  explicit unread_budget(std::size_t limit) : limit_(limit) {}

  /// @brief An id that no other connection has.
  connection_id NewConnection() { return ++last_id_; }
  /// @brief Sets what a connection has unread; 0 forgets it.
  void Set(connection_id id, std::size_t bytes);
  std::size_t Of(connection_id id) const;
  /// @brief The sum over all connections; any thread may ask.
  std::size_t Total() const { return total_; }
  std::size_t Limit() const { return limit_; }
  /// @brief The connection with most unread bytes while the sum is above the
  /// limit; nothing where all have less than `kSmallestClosed`.
  std::optional<connection_id> ToClose() const;

 private:
  const std::size_t limit_;
  connection_id last_id_ = 0;
  std::atomic<std::size_t> total_{0};
  std::unordered_map<connection_id, std::size_t> unread_;  ///< None of 0.
  /// Those that may be closed, by size. The others are not kept in order:
  /// nearly all answers are small and are read at once.
  std::set<std::pair<std::size_t, connection_id>> large_;
};

}  // namespace slatestall
