#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/model/configuration.h"
#include "slatestall/model/error_kind.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/pipeline_data.h"
#include "slatestall/serve/request_trace.h"
#include "slatestall/serve/stage_runner.h"

namespace slatestall {

struct run_spec {
  request_id request;
  std::string workspace;
  accepted_configuration_ptr configuration;  ///< Kept as long as the run.
  std::shared_ptr<const pipeline_config> pipeline;
  pipeline_data data;
  time_point deadline{};
  bool stream = false;  ///< Text goes to the caller as it comes.
};

struct run_answer {
  std::string text;
  std::vector<document> documents;
  std::optional<raw_body> raw;
  std::vector<stage_summary> stages;
};

struct run_hooks {
  std::function<void(std::uint64_t offset, std::string_view text)> on_text;
  std::function<void(run_answer)> on_answer;
  std::function<void(request_failure)> on_failure;
  std::function<bool()> may_dispatch;
  std::function<void(const stage_usage&)> on_usage;
  std::function<void(decision_note)> note;
};

/// @brief Takes one request through the stages of its pipeline. Exactly one of
/// `on_answer` and `on_failure` runs, unless cancelled. Keeps no clock: the
/// deadline's end is the owner's to notice.
class pipeline_run : public std::enable_shared_from_this<pipeline_run> {
 public:
  pipeline_run(const lane_environment& environment, run_spec spec,
               run_hooks hooks);

  void Start();
  void Cancel(attempt_use use);

  /// @brief Whether a call that must not be repeated may have run.
  bool Committed() const { return CommittedRan() != ran::kNo; }
  /// @brief What a caller is told; see docs/API.md.
  ran Ran() const;
  /// @brief Whether sending the request again can do no harm.
  bool RetryIsSafe() const;
  /// @brief Stage at which the run stands.
  std::size_t Stage() const { return stage_; }

 private:
  void StartStage();
  stage_hooks Hooks();
  void OnStageAnswer(stage_output output, stage_summary summary);
  void OnStageFailure(request_failure failure);
  void Answer();
  const service_config* Service(std::size_t stage) const;
  bool IsLastEngine(std::size_t stage) const;
  bool HasText() const;
  ran CommittedRan() const;
  ran RanOf(bool at_most_once_only) const;

  const lane_environment& environment_;
  run_spec spec_;
  run_hooks hooks_;
  bool ended_ = false;
  std::size_t stage_ = 0;
  std::vector<bool> at_most_once_;  ///< By stage.
  std::vector<stage_summary> summaries_;
  std::shared_ptr<stage_runner> runner_;
};

}  // namespace slatestall
