#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "slatestall/model/time.h"

namespace slatestall {

struct engine_state {
  std::vector<std::string> models;  ///< "name@version"
  std::vector<std::string> adapters;
  std::string role = "mixed";
};

struct order_result {
  bool applied = false;
  std::uint64_t highest_fencing = 0;
};

/// @brief What an engine holds, and the orders that change it.
class engine_orders {
 public:
  /// @param load_time How long a model takes until it is held.
  engine_orders(asio::io_context& context, engine_state initial,
                bool checks_fencing, milliseconds load_time);

  /// @brief Takes `{"fencing", "desired": {"models", "adapters", "role"}}`.
  order_result Apply(const nlohmann::json& order);
  /// @brief Whether a call for this model and adapter can run here.
  bool CanRun(const std::string& model, const std::string& adapter) const;
  const engine_state& State() const { return state_; }

 private:
  void BeginLoading(const engine_state& desired);

  asio::io_context& context_;
  engine_state state_;
  bool checks_fencing_;
  milliseconds load_time_;
  std::uint64_t highest_fencing_ = 0;
  std::uint64_t generation_ = 0;
};

}  // namespace slatestall
