#pragma once

#include <optional>
#include <string>

#include "slatestall/http/http_header.h"
#include "slatestall/model/error_kind.h"
#include "slatestall/model/time.h"

namespace slatestall {

inline constexpr const char* kProblemContentType = "application/problem+json";

/// @brief One failed request as its caller is told (RFC 9457).
struct problem {
  error_kind kind = error_kind::kInternal;
  std::string detail;
  std::string request;
  ran may_have_run = ran::kMaybe;
  bool retry_is_safe = false;
  std::optional<milliseconds> retry_after;
};

/// @brief `value`, or nothing where it is not above zero.
std::optional<milliseconds> Positive(milliseconds value);

/// @brief A problem of a request of which nothing was sent anywhere: what the
/// table says of its kind is true of it.
problem UnsentProblem(error_kind kind, std::string detail, std::string request,
                      std::optional<milliseconds> retry_after = {});

/// @brief The same for a request with an Idempotency-Key of which nobody could
/// tell whether an earlier sending ran: its refusal does not say "not run".
problem UndecidedProblem(problem failure);

int StatusOf(const problem& failure);
std::string ProblemAsJson(const problem& failure);
http_headers ProblemHeaders(const problem& failure);

}  // namespace slatestall
