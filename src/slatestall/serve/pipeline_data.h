#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

struct document {
  std::string id;
  std::string text;

  friend bool operator==(const document&, const document&) = default;
};

/// @brief A body of a plain service that is handed through as it is.
struct raw_body {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// @brief What one call consumed as its endpoint says.
struct call_usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t generated_tokens = 0;
  microseconds endpoint_time{0};
};

/// @brief What one stage gives; only the members of its kind are set.
struct stage_output {
  std::optional<std::string> text;
  std::optional<std::vector<double>> embedding;
  std::optional<std::vector<document>> documents;
  std::optional<raw_body> raw;
  call_usage usage;
};

/// @brief What flows from stage to stage of one request.
struct pipeline_data {
  std::string input;
  std::string text;  ///< `input`, then the output of the last engine.
  std::vector<double> embedding;
  std::vector<document> documents;
  /// The documents went into a prompt; a later engine is not given them again.
  bool documents_used = false;
  std::optional<raw_body> raw;  ///< Set for a plain service called directly.
  /// Lowers the limit of the last engine stage; 0: not asked.
  std::uint32_t max_tokens = 0;

  /// @brief The prompt of an engine stage that comes next.
  std::string Prompt() const;
  /// @brief Takes over what a stage gave.
  void Apply(stage_output output, bool engine);
};

}  // namespace slatestall
