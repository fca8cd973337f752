#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "bench/load/load_flow.h"
#include "slatestall/http/http_client.h"

namespace slatestall {

/// @brief Calls encoder, retriever and reranker one after another, as
/// slatestalld does for a pipeline, and words the call of the engine.
class direct_chain : public std::enable_shared_from_this<direct_chain> {
 public:
  /// Takes the body of the engine's call; empty where a call failed.
  using completion = std::function<void(const std::string& engine_call)>;

  direct_chain(http_client& client, const load_flow& flow, std::string marker,
               std::string input);

  void Start(completion done);

 private:
  using next_step = std::function<void(const nlohmann::json& answer)>;

  void Post(std::size_t stage, const std::string& path,
            const nlohmann::json& body, next_step next);
  void Search(const nlohmann::json& encoded);
  void Rerank(const nlohmann::json& found);
  void Finish(const nlohmann::json& ranked);

  http_client& client_;
  const load_flow& flow_;
  std::string marker_;
  std::string input_;
  completion done_;
};

}  // namespace slatestall
