// A pipeline file with several mistakes is read: all of them are told at once,
// each with its place.

#include <iostream>

#include "slatestall/config/pipeline_file.h"

namespace slatestall {
namespace {

constexpr const char* kFile = R"(services:
  encoders: {kind: encoder, from: host-list}
  retrievers: {kind: retriever, from: host-list}
  slate-pool: {kind: engine, from: host-list, slot: 8}
models:
  faq-7b: {version: 1}
pipelines:
  faq-draft:
    deadline: 6
    stages:
      - {name: encode, service: encoders}
      - {name: retrieve, service: retreivers, top_k: 8}
      - {name: draft, service: slate-pool, model: faq-7b, max_tokens: 0}
workspaces:
  alaba-electronics:
    routes: [faq-draft, billing]
)";

}  // namespace
}  // namespace slatestall

int main() {
  const auto parsed =
      slatestall::ParseConfiguration(slatestall::kFile, "shop.yaml");
  std::cout << parsed.problems.size() << " problems\n";
  for (const auto& problem : parsed.problems) {
    std::cout << Describe(problem) << "\n";
  }
}
