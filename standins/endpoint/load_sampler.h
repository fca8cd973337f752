#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief Gives a load report that is up to `lag` old.
class load_sampler {
 public:
  load_sampler(asio::io_context& context, milliseconds lag,
               std::function<nlohmann::json()> current);

  const nlohmann::json& Lagging() const { return sample_; }

 private:
  void TakeSample();

  asio::steady_timer timer_;
  milliseconds lag_;
  std::function<nlohmann::json()> current_;
  nlohmann::json sample_;
};

}  // namespace slatestall
