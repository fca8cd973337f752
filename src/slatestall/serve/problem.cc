#include "slatestall/serve/problem.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "slatestall/serve/json_read.h"

namespace slatestall {
namespace {

constexpr const char* kTypePrefix = "urn:slatestall:error:";

std::string RetryAfterSeconds(milliseconds after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(after);
  return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

}  // namespace

std::optional<milliseconds> Positive(milliseconds value) {
  return value > milliseconds(0) ? std::optional(value) : std::nullopt;
}

problem UnsentProblem(error_kind kind, std::string detail, std::string request,
                      std::optional<milliseconds> retry_after) {
  const error_answer& answer = AnswerFor(kind);
  return {kind,
          std::move(detail),
          std::move(request),
          answer.may_have_run,
          answer.retry_is_safe,
          retry_after};
}

// A host that is killed leaves a sent letter behind; the caller resends its key
// to a host that cannot ask the log. Told "not run", a program would take a new
// key, and the letter would go out twice. These kinds are the ones given out
// before the key's authority has answered; all others were decided by it.
problem UndecidedProblem(problem failure) {
  switch (failure.kind) {
    case error_kind::kClaimUnavailable:
    case error_kind::kDraining:
    case error_kind::kNoConfiguration:
    case error_kind::kOverloaded:
      failure.may_have_run = ran::kMaybe;
      break;
    default:
      break;
  }
  return failure;
}

int StatusOf(const problem& failure) {
  return AnswerFor(failure.kind).http_status;
}

std::string ProblemAsJson(const problem& failure) {
  const error_answer& answer = AnswerFor(failure.kind);
  return DumpJson({{"type", kTypePrefix + std::string(answer.name)},
                   {"title", answer.title},
                   {"status", answer.http_status},
                   {"detail", failure.detail},
                   {"request_id", failure.request},
                   {"ran", NameOf(failure.may_have_run)},
                   {"retry_is_safe", failure.retry_is_safe}});
}

http_headers ProblemHeaders(const problem& failure) {
  http_headers headers = {{"Content-Type", kProblemContentType},
                          {"Cache-Control", "no-store"},
                          {"X-Request-Id", failure.request}};
  if (failure.retry_after) {
    headers.push_back({"Retry-After", RetryAfterSeconds(*failure.retry_after)});
  }
  return headers;
}

}  // namespace slatestall
