#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief One run of one host process. A restarted host has a new
/// incarnation, so nothing it minted before can be mistaken for new.
/// @ingroup model
struct host_id {
  std::string name;               ///< Unique by settings, e.g. "entry-3".
  std::uint64_t incarnation = 0;  ///< Random at start, never 0 when valid.

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report of clang-tidy 14.
  friend auto operator<=>(const host_id&, const host_id&) = default;
};

/// @brief Identifies one request over all hosts: "host.incarnation.sequence".
struct request_id {
  std::string text;

  friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// @brief Mints request ids; each traffic thread owns one.
class request_id_source {
 public:
  /// @param lane Number of the owning thread, so that threads never collide.
  request_id_source(const host_id& host, unsigned lane);

  request_id Next();

 private:
  std::string prefix_;
  std::uint64_t next_ = 0;
};

/// @brief Identifies one attempt at one stage of one request. Endpoints echo
/// its text; an answer that carries another one is dropped.
struct attempt_id {
  request_id request;
  unsigned stage = 0;
  unsigned attempt = 0;

  /// @brief "request/stage/attempt".
  std::string Text() const;
  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// @brief Stable 64-bit hash of bytes, equal on every host and release.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// @brief `StableHash` as 16 hexadecimal digits.
std::string StableHashText(std::string_view bytes, std::uint64_t seed = 0);

/// @brief 64 bits from the system's random source.
std::uint64_t RandomBits();

}  // namespace slatestall
