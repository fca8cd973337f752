#pragma once

#include <map>
#include <optional>
#include <string>

#include "slatestall/model/configuration.h"
#include "slatestall/policy/trace.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

/// @brief Makes arrivals of a trace out of requests that have ended. Holds no
/// prompt, answer or key, as the requests' own traces hold none.
class recorded_arrivals {
 public:
  /// @param at When the request arrived, from the start of the trace.
  /// @return Nothing for a request that a replay cannot run: a call of a plain
  /// service, one answered from an earlier outcome, one refused before the
  /// traffic policy was asked.
  std::optional<trace_arrival> Make(const request_trace& request,
                                    const configuration& content, duration at);

 private:
  milliseconds WorkOf(const request_trace& request, const std::string& stage);

  /// Time on the endpoint by "pipeline/stage", smoothed.
  std::map<std::string, double> usual_ms_;
};

}  // namespace slatestall
