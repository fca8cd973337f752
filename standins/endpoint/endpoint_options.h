#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "slatestall/model/service_kind.h"
#include "slatestall/model/time.h"
#include "standins/common/listen_address.h"

namespace slatestall {

/// @brief One endpoint to serve.
struct endpoint_spec {
  service_kind kind = service_kind::kPlain;
  listen_address listen;
  std::string failure_domain;
};

/// @brief Reads "kind:IP:port:failure_domain,...".
/// @throws std::invalid_argument where it is malformed.
std::vector<endpoint_spec> ParseSpecs(const std::string& text);

/// @brief Behaviour shared by the endpoints of one process.
struct endpoint_options {
  std::uint32_t slots = 8;
  std::uint32_t max_waiting = 64;
  std::uint64_t seed = 1;
  milliseconds load_lag{100};

  // Engines.
  double step_ms = 4;                 ///< One token of every running stream.
  double step_growth = 0.02;          ///< Added per further running stream.
  double prefill_tokens_per_ms = 40;  ///< Uncached prompt tokens.
  std::size_t cached_prefixes = 512;
  milliseconds event_lag{200};
  double event_loss = 0.02;  ///< Share of cache events never published.
  milliseconds stream_retention{10000};
  bool checks_fencing = false;
  milliseconds model_load_time{200};
  std::vector<std::string> models;    ///< Loaded at start, "name@version".
  std::vector<std::string> adapters;  ///< Loaded at start.

  // Pools and plain services.
  double service_ms = 5;        ///< Median of the service time.
  double service_spread = 0.3;  ///< Sigma of its logarithm.
};

}  // namespace slatestall
