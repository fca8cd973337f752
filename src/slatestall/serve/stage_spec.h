#pragma once

#include <cstddef>
#include <string>

#include "slatestall/model/configuration.h"
#include "slatestall/model/ids.h"
#include "slatestall/model/time.h"
#include "slatestall/serve/pipeline_data.h"

namespace slatestall {

/// @brief One stage of one request.
struct stage_spec {
  request_id request;
  std::string workspace;
  const pipeline_config* pipeline = nullptr;  ///< Outlives the run.
  std::size_t stage = 0;                      ///< Index in the pipeline.
  service_kind kind = service_kind::kPlain;
  const pipeline_data* data = nullptr;  ///< Outlives the run.
  time_point deadline{};
  bool at_most_once = false;
  bool streams = false;  ///< Its text goes to the caller as it comes.
  bool lower_max_tokens = false;
};

}  // namespace slatestall
