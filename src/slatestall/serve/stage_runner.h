#pragma once

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/model/error_kind.h"
#include "slatestall/model/stage_usage.h"
#include "slatestall/policy/traffic_policy.h"
#include "slatestall/serve/attempt_accounts.h"
#include "slatestall/serve/call_scheduler.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/stage_attempt.h"
#include "slatestall/serve/stage_spec.h"

namespace slatestall {

/// @brief Why a request, or one stage of it, ended without its answer.
struct request_failure {
  error_kind kind = error_kind::kInternal;
  std::string detail;
  std::optional<milliseconds> retry_after;
};

/// @brief What a stage that was answered cost, for the caller.
struct stage_summary {
  std::string stage;
  std::string service;
  std::string endpoint;
  unsigned attempts = 0;
  duration took{};
  call_usage usage;
};

struct stage_hooks {
  std::function<void(std::uint64_t offset, std::string_view text)> on_text;
  std::function<void(stage_output, stage_summary)> on_answer;
  std::function<void(request_failure)> on_failure;
  /// Whether a call that must not be repeated may be sent now.
  std::function<bool()> may_dispatch;
  std::function<void(const stage_usage&)> on_usage;
  std::function<void(decision_note)> note;
};

/// @brief Runs one stage: asks the policy where, sends, retries and hedges.
/// Exactly one of `on_answer` and `on_failure` runs, unless cancelled.
class stage_runner : public std::enable_shared_from_this<stage_runner> {
 public:
  stage_runner(const lane_environment& environment, stage_spec spec,
               stage_hooks hooks);
  ~stage_runner();
  stage_runner(const stage_runner&) = delete;
  stage_runner& operator=(const stage_runner&) = delete;

  void Start();
  /// @param use What becomes of the work of its attempts.
  void Cancel(attempt_use use);
  /// @brief Whether any attempt may have run at an endpoint.
  bool MayHaveRun() const { return may_have_run_ || !attempts_.empty(); }

 private:
  enum class ask { kFirst, kRetry, kHedge };
  using attempt_ptr = std::shared_ptr<stage_attempt>;

  stage_request Request(ask why) const;
  void Ask(ask why);
  void OnDecision(const stage_decision& decision, ask why);
  void Dispatch(const stage_decision& decision, ask why);
  attempt_spec Attempt(const stage_decision& decision);
  attempt_hooks Hooks(stage_attempt* attempt);
  void StartHedgeTimer(const stage_decision& decision);
  void OnText(stage_attempt* attempt, std::uint64_t offset,
              std::string_view text);
  void OnDone(stage_attempt* attempt, attempt_result result);
  void OnAnswered(const stage_attempt& attempt, attempt_result result);
  void OnFailed(const stage_attempt& attempt, const attempt_result& result);
  void RetryOrFail(const attempt_result& result);
  request_failure FailureOf(const attempt_result& result) const;
  request_failure OutOfTime(const attempt_result& result) const;
  void Fail(request_failure failure);
  attempt_ptr Take(const stage_attempt* attempt);
  void CancelOthers(const stage_attempt* winner, attempt_use use);
  void StopWaiting();
  void Note(std::string_view attempt, std::string_view endpoint,
            std::string_view what, std::string_view reason) const;
  const stage_config& Stage() const;

  const lane_environment& environment_;
  stage_spec spec_;
  stage_hooks hooks_;
  attempt_accounts accounts_;
  bool ended_ = false;
  bool text_sent_ = false;
  bool may_have_run_ = false;  ///< By an attempt that ended.
  unsigned attempts_begun_ = 0;
  time_point started_{};
  std::vector<attempt_ptr> attempts_;
  attempt_ptr cut_;  ///< Ended after text of it went to the caller.
  std::vector<std::string> tried_;
  std::size_t unreached_ = 0;  ///< Of `tried_`: took no connection.
  bool last_unreached_ = false;
  std::vector<std::uint64_t> prefix_hashes_;
  stage_ticket waiting_ = 0;  ///< 0: nothing waits.
  asio::steady_timer hedge_timer_;
  asio::steady_timer retry_timer_;
};

}  // namespace slatestall
