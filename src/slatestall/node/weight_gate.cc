#include "slatestall/node/weight_gate.h"

#include <utility>

namespace slatestall {
namespace {

constexpr std::chrono::minutes kKnownFor{30};
constexpr std::chrono::seconds kAskAgain{15};

}  // namespace

weight_gate::weight_gate(fetch_weights fetch, now_function now)
    : fetch_(std::move(fetch)), now_(std::move(now)) {}

std::set<std::string> weight_gate::Available(
    const std::set<std::string>& wanted) {
  std::set<std::string> available;
  std::set<std::string> unknown;
  for (const auto& label : wanted) {
    const auto known = known_until_.find(label);
    if (known != known_until_.end() && now_() < known->second) {
      available.insert(label);
    } else {
      unknown.insert(label);
    }
  }
  AskNext(unknown);
  return available;
}

void weight_gate::AskNext(const std::set<std::string>& wanted) {
  if (asking_ || now_() < next_ask_) {
    return;
  }
  for (const auto& label : wanted) {
    if (now_() < ask_again_[label]) {
      continue;
    }
    asking_ = true;
    fetch_(label, [this, label](const weight_result& result) {
      asking_ = false;
      if (result.ok) {
        known_until_[label] = now_() + kKnownFor;
      } else if (result.retry_after) {
        next_ask_ = now_() + *result.retry_after;
      } else {
        ask_again_[label] = now_() + kAskAgain;
      }
    });
    return;
  }
}

}  // namespace slatestall
