#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/policy/demand_estimate.h"
#include "slatestall/policy/event_queue.h"
#include "slatestall/policy/modelled_endpoint.h"
#include "slatestall/policy/replay_tally.h"
#include "slatestall/policy/trace.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief What the lanes of a replay share.
struct replay_surroundings {
  event_queue& events;
  replay_tally& tally;
  trace_network network;
  std::function<modelled_endpoint*(const std::string& address)> endpoint;
};

/// @brief One policy and the requests of its thread: makes the calls to it
/// that a traffic thread of a host would make.
class replay_lane {
 public:
  /// @param demand Where this host counts what its workspaces ask for.
  replay_lane(replay_surroundings& surroundings,
              const traffic_policy_options& options,
              std::function<demand_estimate&()> demand);

  void UseSnapshot(const control_snapshot_ptr& snapshot);
  void Arrive(const trace_arrival& arrival);

 private:
  using request_number = std::uint64_t;

  struct attempt {
    stage_ticket ticket = 0;
    std::string address;
    modelled_endpoint* endpoint = nullptr;
    modelled_endpoint::call_number call = 0;  ///< 0: not arrived there.
    time_point sent{};
    duration stall_timeout{};
    bool open = true;
  };

  struct live_request {
    const trace_arrival* arrival = nullptr;
    control_snapshot_ptr snapshot;  ///< Keeps `pipeline` alive.
    const pipeline_config* pipeline = nullptr;
    time_point arrived{};
    time_point deadline{};
    std::size_t stage = 0;
    std::vector<attempt> attempts;  ///< Of the current stage.
    std::vector<std::string> tried;
    std::size_t unreached = 0;  ///< Of `tried`.
    bool last_unreached = false;
    std::vector<duration> used;  ///< By stage.
    bool dispatched = false;
  };

  struct planned_call {
    request_number request = 0;
    bool is_hedge = false;
  };

  void Misfit(const trace_arrival& arrival);
  live_request* Find(request_number number);
  stage_request RequestFor(const live_request& live, stage_ticket ticket) const;
  std::string StageName(const live_request& live) const;
  const service_config& Service(const live_request& live) const;

  void StartStage(request_number number);
  void Submit(request_number number, bool is_retry, bool is_hedge,
              const std::string& hedged);
  void Handle(const stage_decision& decision);
  void Send(request_number number, const stage_decision& decision);
  void Connect(request_number number, std::size_t index, std::size_t stage,
               int priority);
  void Deliver(request_number number, std::size_t index, std::size_t stage,
               int priority);
  void ScheduleHedge(request_number number, std::size_t index,
                     const stage_decision& decision);

  void ScheduleGiveUp(request_number number, std::size_t index,
                      const stage_decision& decision);
  void Answered(request_number number, std::size_t stage, std::size_t index,
                const modelled_answer& answer);
  void Retry(request_number number, attempt_end end);
  void CloseAttempt(live_request& live, attempt& closed, attempt_end end,
                    const modelled_answer& answer);
  void CancelOpen(live_request& live, attempt_waste waste);
  void StageDone(request_number number);
  void DeadlinePassed(request_number number);
  void End(request_number number, replay_outcome outcome);
  void CheckDoubled(const live_request& live);
  void Pump();
  void Tick();

  duration OneWay(const modelled_endpoint& endpoint) const;

  replay_surroundings& around_;
  std::string failure_domain_;
  std::function<demand_estimate&()> demand_;
  traffic_policy policy_;
  control_snapshot_ptr snapshot_;
  request_number last_request_ = 0;
  stage_ticket last_ticket_ = 0;
  std::map<request_number, live_request> live_;
  std::map<stage_ticket, planned_call> planned_;  ///< Not yet decided.
  bool ticking_ = false;
};

}  // namespace slatestall
