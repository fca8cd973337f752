#include "standins/endpoint/load_sampler.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "slatestall/model/ids.h"
#include "standins/common/json_http.h"

namespace slatestall {

std::string LoadHeaderOf(const nlohmann::json& load) {
  return load.at("running").dump() + "/" + load.at("waiting").dump() + "/" +
         load.at("slots").dump();
}

load_sampler::load_sampler(asio::io_context& context, milliseconds lag,
                           std::function<nlohmann::json()> current)
    : timer_(context),
      lag_(std::max(lag, milliseconds(1))),
      current_(std::move(current)) {
  TakeSample();
}

void load_sampler::TakeSample() {
  sample_ = current_();
  sampled_ = std::chrono::steady_clock::now();
  timer_.expires_after(lag_);
  timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      TakeSample();
    }
  });
}

// The version is a hash, so that a restarted endpoint gives another report
// another version.
void load_sampler::Answer(const http_request& request,
                          http_responder& responder,
                          const nlohmann::json& cache) const {
  const std::string version = StableHashText(sample_.dump()).substr(0, 8);
  const bool has_events = cache.is_object() && !cache.at("events").empty();
  if (!has_events && QueryText(request.query, "have") == version) {
    responder.Send(204, {}, {});
    return;
  }
  nlohmann::json answer = sample_;
  answer["version"] = version;
  answer["age_ms"] = std::chrono::duration_cast<milliseconds>(
                         std::chrono::steady_clock::now() - sampled_)
                         .count();
  if (has_events) {
    answer["cache"] = cache;
  }
  SendJson(responder, 200, answer);
}

}  // namespace slatestall
