#include "slatestall/serve/stage_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/serve/json_read.h"
#include "slatestall/serve/usage_json.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kDefaultTopK = 8;
constexpr std::size_t kFirstPrefixBytes = 256;
constexpr milliseconds kTransportGrace{1000};

json DocumentsAsJson(const std::vector<document>& documents) {
  json list = json::array();
  for (const document& each : documents) {
    list.push_back({{"id", each.id}, {"text", each.text}});
  }
  return list;
}

std::optional<std::vector<document>> ReadDocuments(const json& answer) {
  const auto found = answer.find("documents");
  if (found == answer.end() || !found->is_array()) {
    return std::nullopt;
  }
  std::vector<document> documents;
  for (const json& each : *found) {
    const auto id = StringMember(each, "id");
    const auto text = StringMember(each, "text");
    if (!id || !text) {
      return std::nullopt;
    }
    documents.push_back({*id, *text});
  }
  return documents;
}

std::optional<std::vector<double>> ReadEmbedding(const json& answer) {
  const auto found = answer.find("embedding");
  if (found == answer.end() || !found->is_array()) {
    return std::nullopt;
  }
  std::vector<double> embedding;
  embedding.reserve(found->size());
  for (const json& each : *found) {
    if (!each.is_number()) {
      return std::nullopt;
    }
    embedding.push_back(each.get<double>());
  }
  return embedding;
}

std::uint32_t MaxTokens(const stage_message& message) {
  std::uint32_t limit = message.stage->max_tokens == 0
                            ? kDefaultMaxTokens
                            : message.stage->max_tokens;
  if (message.lower_max_tokens && message.data->max_tokens != 0) {
    limit = std::min(limit, message.data->max_tokens);
  }
  return limit;
}

std::uint32_t TopK(const stage_message& message) {
  return message.stage->top_k == 0 ? kDefaultTopK : message.stage->top_k;
}

json EngineBody(const stage_message& message, const attempt_id& id,
                const std::optional<resume_point>& resume) {
  json body = {{"id", id.Text()},
               {"model", message.stage->model},
               {"adapter", message.stage->adapter},
               {"prompt", message.data->Prompt()},
               {"max_tokens", MaxTokens(message)},
               {"priority", message.engine_priority},
               {"stream", true},
               {"resume_offset", resume ? resume->offset : 0}};
  if (resume) {
    body["resume"] = resume->first.Text();
  }
  return body;
}

json Body(const stage_message& message, const attempt_id& id,
          const std::optional<resume_point>& resume) {
  const pipeline_data& data = *message.data;
  switch (message.kind) {
    case service_kind::kEngine:
      return EngineBody(message, id, resume);
    case service_kind::kEncoder:
      return {{"id", id.Text()}, {"input", data.text}};
    case service_kind::kRetriever:
      return {{"id", id.Text()},
              {"embedding", data.embedding},
              {"query", data.text},
              {"top_k", TopK(message)}};
    case service_kind::kReranker:
      return {{"id", id.Text()},
              {"query", data.text},
              {"documents", DocumentsAsJson(data.documents)},
              {"top_k", TopK(message)}};
    case service_kind::kPlain:
      break;
  }
  return {{"id", id.Text()},
          {"input", data.input},
          {"text", data.text},
          {"documents", DocumentsAsJson(data.documents)}};
}

std::string_view Path(service_kind kind) {
  switch (kind) {
    case service_kind::kEngine:
      return "/v1/completions";
    case service_kind::kEncoder:
      return "/v1/embeddings";
    case service_kind::kRetriever:
      return "/v1/search";
    case service_kind::kReranker:
      return "/v1/rerank";
    case service_kind::kPlain:
      break;
  }
  return "/v1/call";
}

checked_answer ReadPlainAnswer(const attempt_id& id, http_result result,
                               bool direct) {
  // A plain service's body need not be JSON, so only the header can tell whose
  // answer it is. One that says nothing is not taken: with answers crossed on
  // a connection, a letter's receipt would go to another workspace.
  if (!EchoesAttempt(result.headers, id).value_or(false)) {
    return {answer_check::kCrossed, {}};
  }
  checked_answer answer{answer_check::kMatches, {}};
  if (direct) {
    answer.output.raw = raw_body{
        result.status, std::string(FindHeader(result.headers, "Content-Type")),
        std::move(result.body)};
    return answer;
  }
  const json parsed = ParseJson(result.body);
  answer.output.usage = UsageMember(parsed);
  answer.output.text = StringMember(parsed, "text");
  if (!answer.output.text) {
    answer.output.text = std::move(result.body);
  }
  return answer;
}

}  // namespace

std::optional<bool> EchoesAttempt(const http_headers& headers,
                                  const attempt_id& id) {
  const std::string_view echoed = FindHeader(headers, "X-Attempt-Id");
  if (echoed.empty()) {
    return std::nullopt;
  }
  return echoed == id.Text();
}

http_call BuildStageCall(const stage_message& message,
                         const std::string& address, const attempt_id& id,
                         const std::optional<resume_point>& resume) {
  const bool direct = message.data->raw.has_value();
  http_call call;
  call.method = "POST";
  call.url = "http://" + address + std::string(Path(message.kind));
  call.headers = {{"Content-Type", direct ? message.data->raw->content_type
                                          : "application/json"},
                  {"X-Request-Id", id.request.text},
                  {"X-Attempt-Id", id.Text()},
                  {"X-Deadline-Ms", std::to_string(message.time_left.count())},
                  {"X-Priority",
                   std::string(NameIn(kPriorityClassNames, message.priority))}};
  call.body =
      direct ? message.data->raw->body : DumpJson(Body(message, id, resume));
  // The deadline is the request's own timer's to notice: a transport that gave
  // up at the same instant would sometimes come first and call it a failure of
  // the endpoint. This limit only ends what was forgotten.
  call.timeout = message.time_left + kTransportGrace;
  return call;
}

checked_answer ReadStageAnswer(service_kind kind, const attempt_id& id,
                               http_result result, bool direct) {
  if (kind == service_kind::kPlain) {
    return ReadPlainAnswer(id, std::move(result), direct);
  }
  const json parsed = ParseJson(result.body);
  if (!parsed.is_object()) {
    return {answer_check::kMalformed, {}};
  }
  if (StringMember(parsed, "id") != id.Text() ||
      !EchoesAttempt(result.headers, id).value_or(true)) {
    return {answer_check::kCrossed, {}};
  }
  checked_answer answer{answer_check::kMatches, {}};
  answer.output.usage = UsageMember(parsed);
  bool whole = false;
  if (kind == service_kind::kEncoder) {
    answer.output.embedding = ReadEmbedding(parsed);
    whole = answer.output.embedding.has_value();
  } else {
    answer.output.documents = ReadDocuments(parsed);
    whole = answer.output.documents.has_value();
  }
  if (!whole) {
    answer.check = answer_check::kMalformed;
  }
  return answer;
}

std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t size = kFirstPrefixBytes; size <= prompt.size(); size *= 2) {
    hashes.push_back(StableHash(prompt.substr(0, size)));
  }
  return hashes;
}

}  // namespace slatestall
