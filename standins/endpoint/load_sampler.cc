#include "standins/endpoint/load_sampler.h"

#include <algorithm>
#include <utility>

namespace slatestall {

load_sampler::load_sampler(asio::io_context& context, milliseconds lag,
                           std::function<nlohmann::json()> current)
    : timer_(context),
      lag_(std::max(lag, milliseconds(1))),
      current_(std::move(current)) {
  TakeSample();
}

void load_sampler::TakeSample() {
  sample_ = current_();
  timer_.expires_after(lag_);
  timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      TakeSample();
    }
  });
}

}  // namespace slatestall
