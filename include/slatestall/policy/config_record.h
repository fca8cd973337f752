#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/configuration.h"

namespace slatestall {

/// @brief Says that `revision` was the head once the log had been read up to
/// `read_to`, itself excluded.
/// @ingroup policy
struct head_claim {
  config_revision revision = 0;
  std::uint64_t read_to = 0;

  friend bool operator==(const head_claim&, const head_claim&) = default;
};

/// @brief One record of the stream "config".
struct config_record {
  std::uint64_t offset = 0;
  bool malformed = false;    ///< Not a record of ours; refused by everyone.
  std::string publication;   ///< Identifies one publication.
  std::string source;        ///< YAML text.
  config_revision base = 0;  ///< Revision it was made from.
  std::optional<head_claim> republication;  ///< Set: not a new revision.
  /// Wall clock of the publisher, seconds since 1970. A hint for when to
  /// republish; no decision about the head rests on it.
  std::int64_t published_at = 0;
};

/// @brief One answer of the log.
struct config_page {
  std::uint64_t first = 0;  ///< Oldest offset still kept.
  std::uint64_t next = 0;   ///< Offset of the next append.
  std::vector<config_record> records;
};

}  // namespace slatestall
