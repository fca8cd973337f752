#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "slatestall/policy/control_snapshot.h"
#include "slatestall/policy/traffic_policy.h"

namespace slatestall {

/// @brief Builds snapshots for tests: the services "pool" (repeatable) and
/// "letters" (not repeatable), and the pipelines "reply" (interactive) and
/// "draft" (batch) that run through both.
class policy_test_world {
 public:
  explicit policy_test_world(std::size_t endpoints, std::uint32_t slots = 2) {
    accepted_ = std::make_shared<accepted_configuration>();
    accepted_->revision = 1;
    AddService("pool", true, endpoints, slots);
    AddService("letters", false, endpoints, slots);
    AddPipeline("reply", priority_class::kInteractive);
    AddPipeline("draft", priority_class::kBatch);
    accepted_->content.workspaces["ws-a"].name = "ws-a";
    accepted_->content.workspaces["ws-b"].name = "ws-b";
  }

  control_snapshot& Next() { return next_; }

  control_snapshot_ptr Publish() {
    next_.configuration = accepted_;
    return std::make_shared<const control_snapshot>(next_);
  }

  std::vector<endpoint_view>& Pool() {
    return next_.services["pool"].endpoints;
  }

  const pipeline_config& Pipeline(const std::string& name) const {
    return accepted_->content.pipelines.at(name);
  }

  /// @brief A call of stage `stage` that still has `left` to its deadline.
  stage_request Call(stage_ticket ticket, const std::string& pipeline,
                     std::size_t stage, time_point now,
                     milliseconds left) const {
    stage_request request;
    request.ticket = ticket;
    request.workspace = ticket % 2 == 0 ? "ws-a" : "ws-b";
    request.pipeline = &Pipeline(pipeline);
    request.stage = stage;
    request.priority = request.pipeline->priority;
    request.deadline = now + left;
    return request;
  }

  static attempt_report End(const stage_request& request,
                            const std::string& address, attempt_end end,
                            duration total) {
    attempt_report report;
    report.ticket = request.ticket;
    report.service = request.pipeline->stages[request.stage].service;
    report.address = address;
    report.pipeline = request.pipeline->name;
    report.stage = request.stage;
    report.end = end;
    report.total = total;
    return report;
  }

 private:
  void AddService(const std::string& name, bool repeatable, std::size_t count,
                  std::uint32_t slots) {
    service_config config;
    config.name = name;
    config.repeatable = repeatable;
    config.slots = slots;
    service_view& view = next_.services[name];
    view.config = config;
    for (std::size_t i = 0; i < count; ++i) {
      endpoint_view endpoint;
      endpoint.where.address = name + "-" + std::to_string(i);
      endpoint.where.failure_domain = i % 2 == 0 ? "even" : "odd";
      view.endpoints.push_back(endpoint);
    }
    accepted_->content.services[name] = config;
  }

  void AddPipeline(const std::string& name, priority_class priority) {
    pipeline_config& pipeline = accepted_->content.pipelines[name];
    pipeline.name = name;
    pipeline.priority = priority;
    pipeline.stages.resize(2);
    pipeline.stages[0].name = "first";
    pipeline.stages[0].service = "pool";
    pipeline.stages[1].name = "second";
    pipeline.stages[1].service = "letters";
  }

  std::shared_ptr<accepted_configuration> accepted_;
  control_snapshot next_;
};

inline time_point TestStart() { return time_point(std::chrono::hours(1)); }

}  // namespace slatestall
