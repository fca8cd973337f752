// Processor time of one decision and memory of the policy's state, by the
// numbers of endpoints and workspaces, for docs/CAPACITY.md.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/policy/traffic_policy.h"

namespace {

using namespace slatestall;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kModels = 27;
constexpr std::size_t kPipelines = 26;
constexpr std::uint32_t kHosts = 390;
constexpr std::uint32_t kSlots = 8;

time_point Start() { return time_point(std::chrono::hours(1)); }

std::string ModelName(std::size_t number) {
  return "model-" + std::to_string(number);
}

std::string WorkspaceName(std::size_t number) {
  return "workspace-" + std::to_string(number);
}

accepted_configuration_ptr MakeConfiguration(std::size_t workspaces) {
  auto accepted = std::make_shared<accepted_configuration>();
  accepted->revision = 1;
  configuration& content = accepted->content;
  for (const char* name : {"engines", "encoders", "retrievers", "rerankers"}) {
    content.services[name].name = name;
    content.services[name].slots = kSlots;
  }
  content.services["engines"].kind = service_kind::kEngine;
  for (std::size_t i = 0; i < kModels; ++i) {
    content.models[ModelName(i)] = {ModelName(i), "1", {}, 1};
  }
  for (std::size_t i = 0; i < kPipelines; ++i) {
    const std::string name = "pipeline-" + std::to_string(i);
    pipeline_config& pipeline = content.pipelines[name];
    pipeline.name = name;
    pipeline.priority =
        i % 4 == 0 ? priority_class::kBatch : priority_class::kInteractive;
    pipeline.stages.resize(4);
    const char* services[] = {"encoders", "retrievers", "rerankers", "engines"};
    for (std::size_t stage = 0; stage < 4; ++stage) {
      pipeline.stages[stage].name = services[stage];
      pipeline.stages[stage].service = services[stage];
    }
    pipeline.stages[3].model = ModelName(i % kModels);
    pipeline.stages[3].max_tokens = 256;
  }
  for (std::size_t i = 0; i < workspaces; ++i) {
    content.workspaces[WorkspaceName(i)].name = WorkspaceName(i);
  }
  return accepted;
}

void AddEndpoints(service_view& view, std::size_t count, bool models) {
  for (std::size_t i = 0; i < count; ++i) {
    endpoint_view endpoint;
    endpoint.where.address = "10.1." + std::to_string(i / 250) + "." +
                             std::to_string(i % 250) + ":8000";
    endpoint.where.failure_domain = "domain-" + std::to_string(i % 20);
    endpoint.load.slots = kSlots;
    endpoint.load.running = static_cast<std::uint32_t>(i % 5);
    endpoint.load.received = Start();
    if (models) {
      endpoint.load.models = {ModelName(i % kModels) + "@1"};
    }
    view.endpoints.push_back(std::move(endpoint));
  }
}

std::shared_ptr<control_snapshot> MakeSnapshot(std::size_t engines,
                                               std::size_t workspaces) {
  auto snapshot = std::make_shared<control_snapshot>();
  snapshot->configuration = MakeConfiguration(workspaces);
  snapshot->live_hosts = kHosts;
  for (const auto& [name, config] : snapshot->configuration->content.services) {
    snapshot->services[name].config = config;
    AddEndpoints(snapshot->services[name], name == "engines" ? engines : 60,
                 name == "engines");
  }
  for (std::size_t i = 0; i < workspaces; ++i) {
    snapshot->shares[WorkspaceName(i)] = {10, 5000, 20};
  }
  return snapshot;
}

traffic_policy_options Options() {
  traffic_policy_options options;
  options.host_name = "entry-1";
  options.failure_domain = "domain-1";
  return options;
}

stage_request EngineCall(const control_snapshot& snapshot, std::uint64_t turn,
                         time_point now) {
  const auto& pipelines = snapshot.configuration->content.pipelines;
  stage_request request;
  request.ticket = turn + 1;
  request.workspace = WorkspaceName(turn % 5);
  request.pipeline =
      &pipelines.at("pipeline-" + std::to_string(turn % kPipelines));
  request.stage = 3;
  request.priority = request.pipeline->priority;
  request.deadline = now + std::chrono::seconds(6);
  request.prefix_hashes = {turn % 97, turn % 997, turn};
  return request;
}

attempt_report EndOf(const stage_request& request,
                     const stage_decision& decision) {
  attempt_report report;
  report.ticket = request.ticket;
  report.service = request.pipeline->stages[request.stage].service;
  report.address = decision.address;
  report.pipeline = request.pipeline->name;
  report.stage = request.stage;
  report.first_byte = milliseconds(200);
  report.total = milliseconds(900);
  return report;
}

// One stage call: Plan, Ended and TakeReady.
void PlanAndEnd(benchmark::State& state) {
  const auto snapshot =
      MakeSnapshot(static_cast<std::size_t>(state.range(0)), 360);
  traffic_policy policy(Options());
  time_point now = Start();
  policy.UseSnapshot(snapshot, now);
  std::uint64_t turn = 0;
  for (auto _ : state) {
    now += microseconds(100);
    const stage_request request = EngineCall(*snapshot, turn++, now);
    const stage_decision decision = policy.Plan(request, now);
    if (decision.verdict == stage_verdict::kDispatch) {
      policy.Ended(EndOf(request, decision), now);
    }
    benchmark::DoNotOptimize(policy.TakeReady(now));
  }
}
BENCHMARK(PlanAndEnd)->Arg(20)->Arg(325)->Arg(650)->Arg(1300);

// The same with a queue of calls that wait.
void PlanWhileOthersWait(benchmark::State& state) {
  const auto snapshot = MakeSnapshot(1300, 360);
  traffic_policy policy(Options());
  time_point now = Start();
  policy.UseSnapshot(snapshot, now);
  std::uint64_t turn = 0;
  for (; turn < static_cast<std::uint64_t>(state.range(0)); ++turn) {
    policy.Plan(EngineCall(*snapshot, turn, now), now);
  }
  for (auto _ : state) {
    const stage_request request = EngineCall(*snapshot, turn++, now);
    benchmark::DoNotOptimize(policy.Plan(request, now));
    benchmark::DoNotOptimize(policy.TakeReady(now));
    policy.Withdraw(request.ticket);
  }
}
BENCHMARK(PlanWhileOthersWait)->Arg(1000)->Arg(10000);

void AdmitAndRelease(benchmark::State& state) {
  const auto workspaces = static_cast<std::size_t>(state.range(0));
  const auto snapshot = MakeSnapshot(1300, workspaces);
  traffic_policy policy(Options());
  time_point now = Start();
  policy.UseSnapshot(snapshot, now);
  const pipeline_config& pipeline =
      snapshot->configuration->content.pipelines.at("pipeline-1");
  std::uint64_t turn = 0;
  for (auto _ : state) {
    now += milliseconds(1);
    const std::string workspace = WorkspaceName(turn++ % workspaces);
    const admission admitted = policy.Admit(
        {workspace, &pipeline, now + std::chrono::seconds(6)}, now);
    if (admitted.admitted) {
      policy.Release({workspace, &pipeline, true, 100}, now);
    }
  }
}
BENCHMARK(AdmitAndRelease)->Arg(5)->Arg(360);

// A snapshot in which every load report is new.
void UseSnapshot(benchmark::State& state) {
  const auto engines = static_cast<std::size_t>(state.range(0));
  const auto workspaces = static_cast<std::size_t>(state.range(1));
  std::vector<std::shared_ptr<control_snapshot>> snapshots;
  for (int i = 0; i < 2; ++i) {
    snapshots.push_back(MakeSnapshot(engines, workspaces));
    for (auto& [name, service] : snapshots.back()->services) {
      for (endpoint_view& endpoint : service.endpoints) {
        endpoint.load.received += milliseconds(i);
      }
    }
  }
  traffic_policy policy(Options());
  time_point now = Start();
  std::uint64_t turn = 0;
  for (auto _ : state) {
    now += milliseconds(500);
    policy.UseSnapshot(snapshots[turn++ % 2], now);
  }
}
BENCHMARK(UseSnapshot)
    ->Args({20, 5})
    ->Args({325, 360})
    ->Args({650, 360})
    ->Args({1300, 360})
    ->Args({1300, 5});

// Bytes on the heap of one policy that has made calls of every pipeline; the
// snapshot, which all threads share, is counted apart.
void Memory(benchmark::State& state) {
  for (auto _ : state) {
    const std::size_t empty = mallinfo2().uordblks;
    const auto snapshot =
        MakeSnapshot(static_cast<std::size_t>(state.range(0)),
                     static_cast<std::size_t>(state.range(1)));
    const std::size_t with_snapshot = mallinfo2().uordblks;
    traffic_policy policy(Options());
    policy.UseSnapshot(snapshot, Start());
    for (std::uint64_t turn = 0; turn < 2000; ++turn) {
      const time_point now = Start() + milliseconds(turn);
      const stage_request request = EngineCall(*snapshot, turn, now);
      const stage_decision decision = policy.Plan(request, now);
      if (decision.verdict == stage_verdict::kDispatch) {
        policy.Ended(EndOf(request, decision), now);
      }
    }
    state.counters["snapshot_bytes"] =
        static_cast<double>(with_snapshot - empty);
    state.counters["policy_bytes"] =
        static_cast<double>(mallinfo2().uordblks - with_snapshot);
  }
}
BENCHMARK(Memory)
    ->Iterations(1)
    ->Args({20, 5})
    ->Args({650, 360})
    ->Args({1300, 360})
    ->Args({1300, 5});

}  // namespace

BENCHMARK_MAIN();
