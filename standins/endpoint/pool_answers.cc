#include "standins/endpoint/pool_answers.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include "slatestall/model/ids.h"
#include "standins/endpoint/answer_text.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr std::size_t kDimensions = 8;
constexpr std::size_t kDefaultTopK = 4;
constexpr std::size_t kCorpusEntries = 32;
constexpr std::size_t kCorpusTextBytes = 300;

std::vector<double> EmbeddingOf(const std::string& text) {
  const std::string key = AnswerKey(text);
  std::vector<double> values;
  for (std::size_t i = 0; i < kDimensions; ++i) {
    values.push_back(static_cast<double>(StableHash(key, i) % 1000) / 1000);
  }
  return values;
}

/// The corpus is small and its texts longer than the shortest cached prefix,
/// so that prompts made of them share prefixes.
std::string DocumentText(const std::string& query, std::size_t index) {
  const std::string key = AnswerKey(query);
  const std::uint64_t entry = (StableHash(key) + index) % kCorpusEntries;
  std::string text = "Entry " + std::to_string(entry) + ":";
  while (text.size() < kCorpusTextBytes) {
    text += " " + StableHashText(text, entry);
  }
  const std::string marker = FirstMarker(query);
  return marker.empty() ? text : text + " marker:" + marker;
}

bool HoldsOtherMarker(const std::string& query, const std::string& text) {
  const std::string expected = FirstMarker(query);
  for (const auto& marker : AllMarkers(text)) {
    if (marker != expected) {
      return true;
    }
  }
  return false;
}

json Encode(const json& call, milliseconds service_time) {
  const std::string input = call.at("input");
  return {{"embedding", EmbeddingOf(input)},
          {"usage",
           {{"prompt_tokens", input.size() / 4 + 1},
            {"engine_ms", service_time.count()}}}};
}

json Search(const json& call, milliseconds service_time, bool& is_crossed) {
  const std::string query = call.at("query");
  is_crossed = call.at("embedding") != json(EmbeddingOf(query));
  json documents = json::array();
  const auto top_k = call.value("top_k", kDefaultTopK);
  for (std::size_t i = 0; i < top_k; ++i) {
    documents.push_back(
        {{"id", "doc-" + StableHashText(AnswerKey(query), i).substr(0, 8)},
         {"text", DocumentText(query, i)}});
  }
  return {{"documents", documents},
          {"usage", {{"engine_ms", service_time.count()}}}};
}

json Rerank(const json& call, milliseconds service_time, bool& is_crossed) {
  const std::string query = call.at("query");
  std::vector<json> documents = call.at("documents");
  for (const json& document : documents) {
    is_crossed = is_crossed || HoldsOtherMarker(query, document.dump());
  }
  std::stable_sort(documents.begin(), documents.end(),
                   [](const json& left, const json& right) {
                     return StableHash(left.dump()) < StableHash(right.dump());
                   });
  const auto top_k = call.value("top_k", kDefaultTopK);
  documents.resize(std::min(documents.size(), top_k));
  return {{"documents", documents},
          {"usage", {{"engine_ms", service_time.count()}}}};
}

}  // namespace

const char* PathOf(service_kind kind) {
  switch (kind) {
    case service_kind::kEncoder:
      return "/v1/embeddings";
    case service_kind::kRetriever:
      return "/v1/search";
    case service_kind::kReranker:
      return "/v1/rerank";
    case service_kind::kPlain:
      return "/v1/call";
    case service_kind::kEngine:
      break;
  }
  throw std::invalid_argument("an engine is no pool");
}

pool_answer AnswerPoolCall(service_kind kind, const std::string& body,
                           const std::string& attempt,
                           milliseconds service_time) {
  pool_answer answer;
  if (kind == service_kind::kPlain) {
    answer.body = PlainAnswer(body);
    return answer;
  }
  const json call = json::parse(body);
  json parts;
  if (kind == service_kind::kEncoder) {
    parts = Encode(call, service_time);
  } else if (kind == service_kind::kRetriever) {
    parts = Search(call, service_time, answer.is_crossed);
  } else {
    parts = Rerank(call, service_time, answer.is_crossed);
  }
  parts["id"] = attempt;
  answer.body = parts.dump();
  return answer;
}

std::string PlainAnswer(const std::string& body) {
  const json answer = {{"text", "done " + StableHashText(AnswerKey(body))},
                       {"body_hash", StableHashText(body)},
                       {"marker", FirstMarker(body)}};
  return answer.dump();
}

}  // namespace slatestall
