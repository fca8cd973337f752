#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "slatestall/http/http_server.h"
#include "slatestall/model/time.h"
#include "slatestall/serve/pipeline_data.h"

namespace slatestall {

/// @brief What a caller sent, checked.
struct caller_request {
  pipeline_data data;
  std::optional<std::string> key;
  std::optional<milliseconds> deadline;
  bool wants_stream = false;
};

/// @brief Reads a request to a pipeline.
/// @throws request_error `kInvalidRequest`.
caller_request ReadPipelineRequest(const http_request& request);

/// @brief Reads a request to a plain service; its body stays as it is.
/// @throws request_error `kInvalidRequest`.
caller_request ReadServiceRequest(const http_request& request);

/// @brief Whether `key` is well formed.
bool IsIdempotencyKey(std::string_view key);

/// @brief Identity of a keyed request's content: its route and body.
std::uint64_t BodyHash(std::string_view route, std::string_view body);

}  // namespace slatestall
