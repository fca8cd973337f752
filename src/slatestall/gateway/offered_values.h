#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "slatestall/gateway/large_value.h"

namespace slatestall {

/// @brief Large values whose pieces other hosts may read from this one.
/// @ingroup gateway
class offered_values {
 public:
  /// @brief The newest value of a key of a topic. The one before is kept for
  /// hosts that are still reading it.
  void Offer(const std::string& topic, const std::string& key,
             const large_value_ptr& value);
  /// @returns null where no value has such a piece, or none any more.
  const std::string* Packed(std::uint64_t digest);

 private:
  std::string_view Find(std::uint64_t digest) const;

  std::map<std::pair<std::string, std::string>, std::deque<large_value_ptr>>
      values_;  ///< Of each key, newest first.
  /// Of pieces that were read: packed once for all hosts.
  std::unordered_map<std::uint64_t, std::string> packed_;
};

}  // namespace slatestall
