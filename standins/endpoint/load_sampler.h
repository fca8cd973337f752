#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "slatestall/http/http_server.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief What the header X-Load of an answer says, by a load report.
std::string LoadHeaderOf(const nlohmann::json& load);

/// @brief Gives a load report that is up to `lag` old.
class load_sampler {
 public:
  load_sampler(asio::io_context& context, milliseconds lag,
               std::function<nlohmann::json()> current);

  /// @brief Answers GET /load: 204 where the asker has this report and there
  /// are no cache events for it.
  /// @param cache Answer to GET /cache_events; null: not asked for.
  void Answer(const http_request& request, http_responder& responder,
              const nlohmann::json& cache = nullptr) const;

 private:
  void TakeSample();

  asio::steady_timer timer_;
  milliseconds lag_;
  std::function<nlohmann::json()> current_;
  nlohmann::json sample_;
  time_point sampled_{};
};

}  // namespace slatestall
