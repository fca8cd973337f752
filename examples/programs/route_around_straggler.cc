// One of four engines is ten times as slow as the others. The policy notices
// from the answers alone; round robin does not.

#include <iomanip>
#include <iostream>
#include <map>
#include <memory>

#include "slatestall/policy/traffic_policy.h"

namespace slatestall {
namespace {

constexpr int kEngines = 4;
constexpr int kCalls = 400;
constexpr auto kUsual = milliseconds(100);
constexpr auto kStraggler = milliseconds(1000);
constexpr const char* kSlowEngine = "10.0.0.4:8000";

/// A service with four engines and a pipeline of one stage on it.
control_snapshot_ptr MakeSnapshot() {
  auto accepted = std::make_shared<accepted_configuration>();
  accepted->revision = 1;
  service_config& service = accepted->content.services["slate-pool"];
  service.name = "slate-pool";
  pipeline_config& pipeline = accepted->content.pipelines["chat-reply"];
  pipeline.name = "chat-reply";
  pipeline.stages.resize(1);
  pipeline.stages[0].name = "reply";
  pipeline.stages[0].service = service.name;
  accepted->content.workspaces["shop"].name = "shop";

  auto snapshot = std::make_shared<control_snapshot>();
  service_view& view = snapshot->services[service.name];
  view.config = service;
  for (int i = 1; i <= kEngines; ++i) {
    endpoint_view engine;
    engine.where = {"10.0.0." + std::to_string(i) + ":8000", "ikeja-a"};
    view.endpoints.push_back(engine);
  }
  snapshot->configuration = accepted;
  return snapshot;
}

/// Sends calls one after another; counts who got them.
std::map<std::string, int> Send(routing_rule rule) {
  const control_snapshot_ptr snapshot = MakeSnapshot();
  const pipeline_config& pipeline =
      snapshot->configuration->content.pipelines.at("chat-reply");
  traffic_policy_options options;
  options.routing = rule;
  traffic_policy policy(options);
  time_point now{std::chrono::hours(1)};
  policy.UseSnapshot(snapshot, now);
  std::map<std::string, int> calls;
  for (int number = 1; number <= kCalls; ++number) {
    stage_request request;
    request.ticket = static_cast<stage_ticket>(number);
    request.workspace = "shop";
    request.pipeline = &pipeline;
    request.deadline = now + std::chrono::seconds(6);
    const stage_decision decision = policy.Plan(request, now);
    if (decision.verdict != stage_verdict::kDispatch) {
      continue;
    }
    ++calls[decision.address];
    const bool is_slow = decision.address == kSlowEngine;
    now += is_slow ? kStraggler : kUsual;
    attempt_report report;
    report.ticket = request.ticket;
    report.service = "slate-pool";
    report.address = decision.address;
    report.pipeline = pipeline.name;
    report.total = is_slow ? kStraggler : kUsual;
    policy.Ended(report, now);
  }
  return calls;
}

void Print(const std::string& title, const std::map<std::string, int>& calls) {
  std::cout << title << "\n";
  for (const auto& [address, count] : calls) {
    std::cout << "  " << address << std::setw(6) << count << " calls"
              << (address == kSlowEngine ? "   <- takes 1 s, the others 0.1 s"
                                         : "")
              << "\n";
  }
}

void Run() {
  Print("round robin", Send(routing_rule::kRoundRobin));
  Print("least wait", Send(routing_rule::kLeastWait));
}

}  // namespace
}  // namespace slatestall

int main() { slatestall::Run(); }
