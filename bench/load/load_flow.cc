#include "bench/load/load_flow.h"

#include <stdexcept>

namespace slatestall {
namespace {

/// Encoder, retriever and reranker; the engine is the balanced host.
constexpr std::size_t kChainLength = 3;

template <typename Enum, std::size_t N>
Enum NamedValue(const name_table<Enum, N>& table, const std::string& name) {
  const auto value = ValueIn(table, name);
  if (!value) {
    throw std::invalid_argument("unknown value " + name);
  }
  return *value;
}

}  // namespace

load_flow FlowFrom(const nlohmann::json& fields) {
  load_flow flow;
  flow.name = fields.at("name");
  flow.target = NamedValue(kFlowTargetNames, fields.at("target"));
  flow.workspaces =
      fields.value("workspaces", std::vector<std::string>{"none"});
  flow.called = fields.at("called");
  flow.per_second = fields.at("per_second");
  flow.key = NamedValue(kKeySourceNames, fields.value("key", "none"));
  flow.stream = fields.value("stream", flow.stream);
  flow.chain = fields.value("chain", flow.chain);
  flow.deadline = milliseconds(fields.value("deadline_ms", 6000));
  flow.max_tokens = fields.value("max_tokens", flow.max_tokens);
  flow.input_bytes = fields.value("input_bytes", flow.input_bytes);
  flow.copies = fields.value("copies", flow.copies);
  if (flow.workspaces.empty() || flow.copies == 0 || flow.per_second <= 0) {
    throw std::invalid_argument("empty flow " + flow.name);
  }
  const bool is_chain = flow.target == flow_target::kDirectChain;
  if (flow.chain.size() != (is_chain ? kChainLength : 0)) {
    throw std::invalid_argument("wrong chain in flow " + flow.name);
  }
  return flow;
}

}  // namespace slatestall
