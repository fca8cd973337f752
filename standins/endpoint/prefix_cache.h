#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Hashes of the first 256, 512, 1024, … bytes of a prompt.
struct prompt_prefix {
  std::size_t bytes = 0;
  std::string hash;
};

std::vector<prompt_prefix> PrefixesOf(std::string_view prompt);

struct prefix_cache_options {
  std::size_t capacity = 512;
  milliseconds event_lag{200};
  double event_loss = 0;
  std::uint64_t seed = 1;
};

/// @brief An engine's cache of prompt prefixes, least recently used out
/// first, and its events, which come late and with gaps.
class prefix_cache {
 public:
  explicit prefix_cache(const prefix_cache_options& options);

  /// @return Bytes of the longest cached prefix of `prompt`, which is cached
  /// as a whole from now on.
  std::size_t Use(std::string_view prompt, time_point now);
  void Store(const std::string& hash, time_point now);
  bool Holds(const std::string& hash) const;

  /// @brief Answer to `GET /cache_events?from=N`.
  nlohmann::json EventsFrom(std::uint64_t from, time_point now) const;

 private:
  struct cache_event {
    std::uint64_t sequence = 0;
    time_point visible{};
    bool is_stored = true;
    std::string prefix;
  };

  void Publish(bool is_stored, const std::string& hash, time_point now);

  prefix_cache_options options_;
  std::mt19937_64 random_;
  std::list<std::string> recent_;  ///< Most recent first.
  std::unordered_map<std::string, std::list<std::string>::iterator> index_;
  std::deque<cache_event> events_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace slatestall
