#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A record that says into how many streams the claims are divided.
/// @ingroup policy
struct layout_mark {
  std::uint32_t partitions = 0;
  /// Where the first mark of a stream is meant to land; it counts only there.
  /// Nothing: written by a host that had read a mark which counts.
  std::optional<std::uint64_t> founded_at;
};

/// @brief Agrees the number of claim partitions through the log: the first
/// mark that counts decides, and hosts with another number claim nothing.
class claim_layout {
 public:
  /// @param retention Of the log; 0: not known.
  claim_layout(std::uint32_t partitions, std::chrono::seconds retention);

  std::uint64_t ReadFrom() const { return read_from_; }
  /// @brief Takes a successful read: the marks with their offsets in order,
  /// the oldest kept offset and the next one.
  void Read(std::uint64_t first, std::uint64_t next,
            const std::vector<std::pair<std::uint64_t, layout_mark>>& marks,
            time_point now);

  /// @brief The mark to append now where this host looks after them.
  std::optional<layout_mark> Due(time_point now) const;
  /// @brief A mark was sent; what became of it, the next read tells.
  void Sent(time_point now);

  bool Agrees() const { return in_log_ == partitions_; }
  /// @brief The number that counts, once it is known.
  std::optional<std::uint32_t> InLog() const { return in_log_; }
  std::uint32_t Own() const { return partitions_; }

 private:
  std::uint32_t partitions_;
  duration confirm_every_;
  std::optional<std::uint32_t> in_log_;
  std::uint64_t read_from_ = 0;
  bool complete_ = false;  ///< Read to the end since the last mark was sent.
  time_point marked_{};    ///< When a mark was last seen or sent.
};

}  // namespace slatestall
