#pragma once

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace slatestall {

/// @brief Every way a request can end without its answer. The list is closed:
/// a new failure is mapped onto one of these or added here with its row.
/// @ingroup model
enum class error_kind {
  kInvalidRequest,
  kUnauthorized,
  kNotFound,
  kPayloadTooLarge,
  kKeyRequired,
  kKeyReused,
  kKeyExpired,
  kRequestInProgress,
  kLimitExceeded,
  kOverloaded,
  kDeadlineUnreachable,
  kDraining,
  kNoConfiguration,
  kNoEndpoint,
  kQuarantined,
  kClaimUnavailable,
  kStageFailed,
  kDeadlineExceeded,
  kOutcomeUnknown,
  kCancelled,
  kInternal,
};

/// @brief Whether any stage of the request may have taken effect.
enum class ran { kNo, kMaybe, kYes };

/// @brief What a caller is told for one error kind.
struct error_answer {
  error_kind kind;
  std::string_view name;   ///< Stable identifier, `type` suffix of the problem.
  std::string_view title;  ///< One line for people.
  int http_status;
  ran may_have_run;    ///< `kNo` is a promise: nothing ran, nothing billed.
  bool retry_is_safe;  ///< Whether resending the same request can harm.
};

/// @brief The row of `kind`.
const error_answer& AnswerFor(error_kind kind);

/// @brief The kind called `name`, or nothing.
std::optional<error_kind> ErrorKindNamed(std::string_view name);

std::string_view NameOf(ran value);

/// @brief A failure that has a kind; the front turns it into an answer.
class request_error : public std::runtime_error {
 public:
  /// @param retry_after When a resend makes sense; nothing where never.
  request_error(error_kind kind, const std::string& detail,
                std::optional<std::chrono::milliseconds> retry_after = {});

  error_kind Kind() const { return kind_; }
  std::optional<std::chrono::milliseconds> RetryAfter() const {
    return retry_after_;
  }

 private:
  error_kind kind_;
  std::optional<std::chrono::milliseconds> retry_after_;
};

}  // namespace slatestall
