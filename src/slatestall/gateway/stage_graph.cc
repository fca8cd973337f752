#include "slatestall/gateway/stage_graph.h"

#include <algorithm>
#include <utility>

namespace slatestall {

stage_graph::stage_graph(const std::vector<stage_rule>& stages,
                         const std::vector<unsigned>& pieces) {
  nodes_.resize(stages.size());
  for (std::size_t i = 0; i < stages.size(); ++i) {
    nodes_[i].after = stages[i].after;
    nodes_[i].pieces = i < pieces.size() ? pieces[i] : 0;
    nodes_[i].done = nodes_[i].pieces == 0;
    for (const auto earlier : stages[i].after) {
      nodes_[earlier].is_final = false;
    }
  }
  // A stage names only earlier ones, so that one pass from the end suffices.
  for (std::size_t i = nodes_.size(); i-- > 0;) {
    for (const auto earlier : nodes_[i].after) {
      auto& node = nodes_[earlier];
      const std::size_t own = nodes_[i].pieces > 0 ? 1 : 0;
      node.height = std::max(node.height, nodes_[i].height + own);
    }
  }
}

std::vector<std::size_t> stage_graph::TakeReady() {
  std::size_t steps_left = 0;
  for (const auto& node : nodes_) {
    if (!node.done) {
      steps_left = std::max(steps_left, node.height);
    }
  }
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& node = nodes_[i];
    const bool has_inputs =
        std::all_of(node.after.begin(), node.after.end(),
                    [this](std::size_t stage) { return nodes_[stage].done; });
    if (!node.begun && !node.done && has_inputs && node.height >= steps_left) {
      node.begun = true;
      ready.push_back(i);
    }
  }
  return ready;
}

void stage_graph::SetDone(std::size_t stage, std::vector<std::string> handles) {
  nodes_[stage].done = true;
  nodes_[stage].handles = std::move(handles);
}

bool stage_graph::AllDone() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [](const node& one) { return one.done; });
}

bool stage_graph::Empty() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [](const node& one) { return one.pieces == 0; });
}

std::vector<std::string> stage_graph::InputsOf(std::size_t stage) const {
  std::vector<std::string> inputs;
  for (const auto earlier : nodes_[stage].after) {
    const auto& handles = nodes_[earlier].handles;
    inputs.insert(inputs.end(), handles.begin(), handles.end());
  }
  return inputs;
}

std::vector<std::string> stage_graph::FinalInputs() const {
  std::vector<std::string> inputs;
  for (const auto& node : nodes_) {
    if (node.is_final) {
      inputs.insert(inputs.end(), node.handles.begin(), node.handles.end());
    }
  }
  return inputs;
}

std::vector<std::string> stage_graph::SpentBy(std::size_t stage) const {
  std::vector<std::string> spent;
  for (const auto earlier : nodes_[stage].after) {
    bool needed = false;
    for (const auto& node : nodes_) {
      const bool takes = std::find(node.after.begin(), node.after.end(),
                                   earlier) != node.after.end();
      needed = needed || (takes && !node.done);
    }
    if (!needed) {
      const auto& handles = nodes_[earlier].handles;
      spent.insert(spent.end(), handles.begin(), handles.end());
    }
  }
  return spent;
}

std::vector<std::string> stage_graph::AllHandles() const {
  std::vector<std::string> all;
  for (const auto& node : nodes_) {
    all.insert(all.end(), node.handles.begin(), node.handles.end());
  }
  return all;
}

void stage_graph::Reset() {
  for (auto& node : nodes_) {
    node.begun = false;
    node.done = node.pieces == 0;
    node.handles.clear();
  }
}

}  // namespace slatestall
