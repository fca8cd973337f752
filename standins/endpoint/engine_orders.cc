#include "standins/endpoint/engine_orders.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace slatestall {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

engine_state DesiredBy(const nlohmann::json& order) {
  const nlohmann::json& desired = order.at("desired");
  engine_state state;
  state.models = desired.value("models", state.models);
  state.adapters = desired.value("adapters", state.adapters);
  state.role = desired.value("role", state.role);
  return state;
}

}  // namespace

engine_orders::engine_orders(asio::io_context& context, engine_state initial,
                             bool checks_fencing, milliseconds load_time)
    : context_(context),
      state_(std::move(initial)),
      checks_fencing_(checks_fencing),
      load_time_(load_time) {}

order_result engine_orders::Apply(const nlohmann::json& order) {
  const auto fencing = order.at("fencing").get<std::uint64_t>();
  const engine_state desired = DesiredBy(order);
  if (checks_fencing_ && fencing < highest_fencing_) {
    return {false, highest_fencing_};
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  BeginLoading(desired);
  return {true, highest_fencing_};
}

void engine_orders::BeginLoading(const engine_state& desired) {
  const std::uint64_t order = ++generation_;
  state_.role = desired.role;
  std::erase_if(state_.models, [&](const auto& name) {
    return !Contains(desired.models, name);
  });
  std::erase_if(state_.adapters, [&](const auto& name) {
    return !Contains(desired.adapters, name);
  });
  auto timer = std::make_shared<asio::steady_timer>(context_, load_time_);
  timer->async_wait([this, timer, desired, order](const std::error_code&) {
    if (order == generation_) {
      state_ = desired;
    }
  });
}

bool engine_orders::CanRun(const std::string& model,
                           const std::string& adapter) const {
  const bool has_model = std::any_of(
      state_.models.begin(), state_.models.end(), [&](const std::string& held) {
        return held == model || held.starts_with(model + "@");
      });
  return has_model && (adapter.empty() || Contains(state_.adapters, adapter));
}

}  // namespace slatestall
