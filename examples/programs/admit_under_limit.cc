// A workspace sends more than its limit for three seconds, and another one
// stays inside its own. The first is refused what is too much, told when to
// come back, and costs the second nothing.

#include <iostream>
#include <map>
#include <memory>

#include "slatestall/policy/traffic_policy.h"

namespace slatestall {
namespace {

constexpr auto kBetween = milliseconds(20);  ///< 50 requests a second.
constexpr int kRequests = 150;
constexpr double kLimit = 10;

control_snapshot_ptr MakeSnapshot() {
  auto accepted = std::make_shared<accepted_configuration>();
  accepted->revision = 1;
  configuration& content = accepted->content;
  content.services["slate-pool"].name = "slate-pool";
  pipeline_config& pipeline = content.pipelines["chat-reply"];
  pipeline.name = "chat-reply";
  pipeline.stages.resize(1);
  pipeline.stages[0].name = "reply";
  pipeline.stages[0].service = "slate-pool";

  auto snapshot = std::make_shared<control_snapshot>();
  for (const char* name : {"busy-shop", "calm-shop"}) {
    content.workspaces[name].name = name;
    content.workspaces[name].limits.requests_per_second = kLimit;
    snapshot->shares[name].requests_per_second = kLimit;
  }
  service_view& view = snapshot->services["slate-pool"];
  view.config = content.services["slate-pool"];
  endpoint_view engine;
  engine.where = {"10.0.0.1:8000", "ikeja-a"};
  view.endpoints.push_back(engine);
  snapshot->configuration = accepted;
  return snapshot;
}

struct counts {
  int admitted = 0;
  int refused = 0;
  admission last_refusal;
};

void Offer(traffic_policy& policy, const pipeline_config& pipeline,
           const std::string& workspace, time_point now, counts& so_far) {
  const admission decision =
      policy.Admit({workspace, &pipeline, now + std::chrono::seconds(6)}, now);
  if (!decision.admitted) {
    ++so_far.refused;
    so_far.last_refusal = decision;
    return;
  }
  ++so_far.admitted;
  policy.Release({workspace, &pipeline, true, 0}, now);
}

void Run() {
  const control_snapshot_ptr snapshot = MakeSnapshot();
  const pipeline_config& pipeline =
      snapshot->configuration->content.pipelines.at("chat-reply");
  traffic_policy policy({});
  time_point now{std::chrono::hours(1)};
  policy.UseSnapshot(snapshot, now);
  counts busy;
  counts calm;
  for (int number = 0; number < kRequests; ++number) {
    Offer(policy, pipeline, "busy-shop", now, busy);
    if (number % 10 == 0) {
      Offer(policy, pipeline, "calm-shop", now, calm);
    }
    now += kBetween;
  }
  std::cout << "limit of each workspace on this host: " << kLimit
            << " requests a second, for 3 s, and a burst of what it saved "
               "up\n"
            << "busy-shop sends 50 a second: " << busy.admitted << " admitted, "
            << busy.refused << " refused\n"
            << "  refused as: " << AnswerFor(busy.last_refusal.refusal).title
            << " (" << busy.last_refusal.reason << "), come back in "
            << busy.last_refusal.retry_after.count() << " ms\n"
            << "calm-shop sends 5 a second:  " << calm.admitted << " admitted, "
            << calm.refused << " refused\n";
}

}  // namespace
}  // namespace slatestall

int main() { slatestall::Run(); }
