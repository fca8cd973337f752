#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/http/http_server.h"
#include "slatestall/model/configuration.h"
#include "slatestall/model/stage_usage.h"
#include "slatestall/serve/answer_writer.h"
#include "slatestall/serve/caller_request.h"
#include "slatestall/serve/lane_environment.h"
#include "slatestall/serve/outcome_guard.h"
#include "slatestall/serve/pipeline_run.h"
#include "slatestall/serve/problem.h"
#include "slatestall/serve/request_trace.h"

namespace slatestall {

struct flow_spec {
  request_id id;
  std::string workspace;
  accepted_configuration_ptr configuration;
  std::shared_ptr<const pipeline_config> pipeline;
  caller_request request;
  /// Set for a request that runs at most once.
  std::optional<keyed_request> keyed;
  time_point arrived{};
  time_point deadline{};
};

/// @brief One request from its arrival to its one answer: claim of its key,
/// admission, run, answer, accounts.
class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  /// @param on_end Runs once, last.
  request_flow(const lane_environment& environment, flow_spec spec,
               http_responder_ptr responder,
               std::function<void(const request_id&)> on_end);

  void Start();

 private:
  void WatchDeadline();
  void Claim();
  void OnClaim(claim_decision decision);
  void Replay(const stored_outcome& outcome);
  void Admit();
  void Run();
  void OnAnswer(run_answer answer);
  void OnFailure(const request_failure& failure);
  void OnDeadline();
  void OnCallerGone();
  void Fail(const problem& failure);
  problem ProblemOf(const request_failure& failure) const;
  void SettleKey(const stored_outcome& outcome, bool answered);
  void End(std::optional<error_kind> error, ran may_have_run);
  void Log(std::optional<error_kind> error) const;
  void Record(std::optional<error_kind> error, ran may_have_run);
  void Note(decision_note note);
  void NoteRequest(std::string what, std::string reason);
  lane_event CountOf(std::optional<error_kind> error, ran may_have_run) const;

  const lane_environment& environment_;
  flow_spec spec_;
  std::function<void(const request_id&)> on_end_;
  std::shared_ptr<answer_writer> writer_;
  asio::steady_timer deadline_timer_;
  std::shared_ptr<pipeline_run> run_;
  bool claimed_ = false;
  bool admitted_ = false;
  bool ended_ = false;
  std::shared_ptr<request_trace> trace_;
};

}  // namespace slatestall
