#include "bench/load/direct_chain.h"

#include <utility>

namespace slatestall {
namespace {

using nlohmann::json;

constexpr int kFound = 8;
constexpr int kKept = 3;

}  // namespace

direct_chain::direct_chain(http_client& client, const load_flow& flow,
                           std::string marker, std::string input)
    : client_(client),
      flow_(flow),
      marker_(std::move(marker)),
      input_(std::move(input)) {}

void direct_chain::Start(completion done) {
  done_ = std::move(done);
  Post(0, "/v1/embeddings", {{"input", input_}},
       [self = shared_from_this()](const json& encoded) {
         self->Search(encoded);
       });
}

void direct_chain::Search(const json& encoded) {
  Post(1, "/v1/search",
       {{"embedding", encoded.at("embedding")},
        {"query", input_},
        {"top_k", kFound}},
       [self = shared_from_this()](const json& found) { self->Rerank(found); });
}

void direct_chain::Rerank(const json& found) {
  Post(2, "/v1/rerank",
       {{"query", input_},
        {"documents", found.at("documents")},
        {"top_k", kKept}},
       [self = shared_from_this()](const json& ranked) {
         self->Finish(ranked);
       });
}

void direct_chain::Finish(const json& ranked) {
  std::string prompt;
  for (const json& document : ranked.at("documents")) {
    prompt += document.at("text").get<std::string>() + "\n";
  }
  const json call = {{"id", marker_ + "/0/0"},
                     {"model", flow_.called},
                     {"adapter", ""},
                     {"prompt", prompt + input_},
                     {"max_tokens", flow_.max_tokens},
                     {"priority", 0},
                     {"stream", true},
                     {"resume_offset", 0}};
  done_(call.dump());
}

void direct_chain::Post(std::size_t stage, const std::string& path,
                        const json& body, next_step next) {
  const std::string attempt = marker_ + "/" + std::to_string(stage) + "/0";
  json call_body = body;
  call_body["id"] = attempt;
  http_call call;
  call.method = "POST";
  call.url = flow_.chain[stage] + path;
  call.headers = {{"X-Request-Id", marker_}, {"X-Attempt-Id", attempt}};
  call.body = call_body.dump();
  client_.Start(std::move(call),
                [self = shared_from_this(),
                 next = std::move(next)](const http_result& result) {
                  const json answer = json::parse(result.body, nullptr, false);
                  if (result.status == 200 && answer.is_object()) {
                    next(answer);
                  } else {
                    self->done_({});
                  }
                });
}

}  // namespace slatestall
