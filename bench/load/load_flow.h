#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "slatestall/model/name_table.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What a flow calls.
enum class flow_target {
  kPipeline,
  kService,
  /// Encoder, retriever, reranker and engine called one after another by the
  /// caller itself, without slatestalld: the reference for a pipeline.
  kDirectChain,
  kDirectPlain,
};

inline constexpr name_table<flow_target, 4> kFlowTargetNames{{
    {flow_target::kPipeline, "pipeline"},
    {flow_target::kService, "service"},
    {flow_target::kDirectChain, "direct-chain"},
    {flow_target::kDirectPlain, "direct-plain"},
}};

enum class key_source { kNone, kMinted, kOwn };

inline constexpr name_table<key_source, 3> kKeySourceNames{{
    {key_source::kNone, "none"},
    {key_source::kMinted, "minted"},
    {key_source::kOwn, "own"},
}};

/// @brief One steady stream of like requests.
struct load_flow {
  std::string name;
  flow_target target = flow_target::kPipeline;
  std::vector<std::string> workspaces;
  std::string called;  ///< Pipeline, service or model.
  double per_second = 1;
  key_source key = key_source::kNone;
  bool stream = false;
  std::vector<std::string> chain;  ///< Base URLs, for `kDirectChain`.
  milliseconds deadline{6000};
  std::uint32_t max_tokens = 64;
  std::size_t input_bytes = 200;
  unsigned copies = 1;  ///< Sent to different hosts at the same moment.
};

/// @throws std::exception where a field is wrong.
load_flow FlowFrom(const nlohmann::json& fields);

}  // namespace slatestall
