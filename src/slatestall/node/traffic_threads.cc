#include "slatestall/node/traffic_threads.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

#include "slatestall/model/listen_address.h"
#include "slatestall/policy/replay.h"
#include "slatestall/report/prometheus_text.h"
#include "slatestall/report/report_collector.h"
#include "slatestall/report/report_json.h"
#include "slatestall/serve/traffic_lane.h"

namespace slatestall {
namespace {

traffic_policy_options PolicyFor(const std::string& routing) {
  if (routing == "plain-round-robin") {
    return NaivePolicy();
  }
  if (routing == "plain-least-in-flight") {
    return LeastInFlightPolicy();
  }
  const auto rule = ValueIn(kRoutingRuleNames, routing);
  if (!rule) {
    throw std::invalid_argument("no such routing: " + routing);
  }
  traffic_policy_options policy;
  policy.routing = *rule;
  return policy;
}

traffic_lane_options LaneOptions(const settings& options, std::uint16_t port) {
  const auto listen = ParseListenAddress(options.listen);
  traffic_lane_options lane;
  lane.server.address = listen.address;
  lane.server.port = port != 0 ? port : listen.port;
  lane.server.max_body_bytes = options.max_body_bytes;
  lane.server.max_connections =
      std::max(1U, options.max_connections / options.traffic_threads);
  lane.server.share_port = options.traffic_threads > 1;
  lane.policy = PolicyFor(options.routing);
  lane.policy.failure_domain = options.failure_domain;
  lane.policy.seed = RandomBits();
  lane.policy.lanes = options.traffic_threads;
  return lane;
}

}  // namespace

/// Destroyed from the last to the first: the lane before its context.
struct traffic_threads::lane_thread {
  explicit lane_thread(time_point started)
      : work(asio::make_work_guard(context)), report(started) {}

  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  report_collector report;
  std::unique_ptr<traffic_lane> lane;
  std::thread thread;
};

traffic_threads::traffic_threads(const settings& options, const host_id& self,
                                 now_function now,
                                 const snapshot_cell& snapshots,
                                 traffic_links links)
    : options_(options),
      self_(self),
      now_(std::move(now)),
      snapshots_(snapshots),
      links_(std::move(links)),
      demand_(now_()) {
  std::uint16_t port = 0;
  for (unsigned number = 0; number < options_.traffic_threads; ++number) {
    lanes_.push_back(MakeLane(number, port));
    port = lanes_.front()->lane->Port();
  }
}

traffic_threads::~traffic_threads() { Stop(); }

std::uint16_t traffic_threads::Port() const {
  return lanes_.front()->lane->Port();
}

void traffic_threads::Start() {
  for (const auto& lane : lanes_) {
    lane->thread = std::thread([&context = lane->context] { context.run(); });
  }
}

void traffic_threads::Stop() {
  for (const auto& lane : lanes_) {
    lane->context.stop();
  }
  for (const auto& lane : lanes_) {
    if (lane->thread.joinable()) {
      lane->thread.join();
    }
  }
}

void traffic_threads::Drain() {
  for (const auto& lane : lanes_) {
    lane->lane->Drain();
  }
}

void traffic_threads::StopAccepting() {
  for (const auto& lane : lanes_) {
    lane->lane->StopAccepting();
  }
}

std::size_t traffic_threads::InHand() const {
  std::size_t total = 0;
  for (const auto& lane : lanes_) {
    total += lane->lane->InHand();
  }
  return total;
}

std::string traffic_threads::Explain(const std::string& request) const {
  for (const auto& lane : lanes_) {
    if (const auto trace = lane->lane->Explain().Find(request)) {
      return TraceAsJson(*trace);
    }
  }
  return {};
}

report_data traffic_threads::MergedReport() const {
  report_data total;
  for (const auto& lane : lanes_) {
    total.Merge(lane->report.Snapshot(now_()));
  }
  return total;
}

std::string traffic_threads::Report() const {
  return ReportToJson(MergedReport()).dump();
}

std::map<std::string, workspace_demand> traffic_threads::TakeDemand() {
  return demand_.Take(now_());
}

std::string traffic_threads::Metrics() const {
  std::string text = links_.control_metrics();
  text += WritePrometheus(MergedReport());
  for (const auto& entry : kLaneEventNames) {
    std::uint64_t total = 0;
    for (const auto& lane : lanes_) {
      total += lane->lane->Counters().Value(entry.value);
    }
    const auto name = "slatestall_" + std::string(entry.name) + "_total";
    text.append("# TYPE ").append(name).append(" counter\n");
    text.append(name).append(" ").append(std::to_string(total)).append("\n");
  }
  std::uint64_t dropped = 0;
  for (const auto& lane : lanes_) {
    dropped += lane->lane->LogEventsDropped();
  }
  text +=
      "# TYPE slatestall_log_events_dropped_total counter\n"
      "slatestall_log_events_dropped_total " +
      std::to_string(dropped) + "\n";
  text +=
      "# TYPE slatestall_requests_in_hand gauge\n"
      "slatestall_requests_in_hand " +
      std::to_string(InHand()) + "\n";
  return text;
}

std::unique_ptr<traffic_threads::lane_thread> traffic_threads::MakeLane(
    unsigned number, std::uint16_t port) {
  auto lane = std::make_unique<lane_thread>(now_());
  traffic_lane_hooks hooks;
  hooks.admin = links_.admin_handler(lane->context);
  hooks.metrics = [this] { return Metrics(); };
  hooks.on_endpoint_leaving = links_.endpoint_leaves;
  hooks.on_endpoint_told = links_.endpoint_told;
  hooks.on_request_end = [this](const request_trace_ptr& trace) {
    demand_.Note(*trace);
    if (links_.on_request_end) {
      links_.on_request_end(trace);
    }
  };
  lane->lane = std::make_unique<traffic_lane>(
      lane->context, LaneOptions(options_, port), self_, number, snapshots_,
      links_.guard, now_, lane->report, std::move(hooks));
  return lane;
}

}  // namespace slatestall
