#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace slatestall {

/// @brief Remembers to which endpoint prompts with a prefix were last sent.
/// Bounded: a direct-mapped table in which a new prefix replaces an old one.
class prefix_memory {
 public:
  void Remember(std::uint64_t prefix, const std::string& address);
  /// @brief The endpoint that last got the prefix, or empty.
  const std::string& Find(std::uint64_t prefix) const;

 private:
  struct slot {
    std::uint64_t prefix = 0;
    std::string address;
  };

  std::vector<slot> slots_;
};

}  // namespace slatestall
