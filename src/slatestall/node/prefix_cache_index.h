#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace slatestall {

/// @brief Which prompt prefixes the engines' caches are believed to hold, from
/// events that come late and with gaps: hints, never more.
class prefix_cache_index {
 public:
  /// @brief Sequence number to ask an engine's events from.
  std::uint64_t NextOf(const std::string& address) const;

  /// @brief Takes an answer of GET /cache_events.
  /// @return Whether what is believed of the engine changed.
  bool Take(const std::string& address, const std::string& body);
  /// @brief Forgets all other engines.
  void KeepOnly(const std::set<std::string>& addresses);

  /// @brief Hashes in ascending order.
  std::shared_ptr<const std::vector<std::uint64_t>> PrefixesOf(
      const std::string& address) const;

 private:
  struct engine_cache {
    std::uint64_t next = 0;
    std::set<std::uint64_t> held;
    std::uint64_t missed = 0;  ///< Events lost since `held` was cleared.
  };

  std::map<std::string, engine_cache> engines_;
};

}  // namespace slatestall
