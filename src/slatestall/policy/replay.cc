#include "slatestall/policy/replay.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/model/ids.h"
#include "slatestall/policy/replay_lane.h"
#include "slatestall/policy/seconds.h"
#include "slatestall/policy/share_exchange.h"

namespace slatestall {
namespace {

constexpr auto kSnapshotInterval = milliseconds(100);
// Long enough for every request to reach its deadline.
constexpr auto kAfterLastArrival = std::chrono::seconds(70);

accepted_configuration_ptr Accept(const trace_configuration& published) {
  parsed_configuration parsed =
      ParseConfiguration(published.source, "configuration");
  if (!parsed.Ok()) {
    throw trace_error(0, Describe(parsed.problems.front()));
  }
  auto accepted = std::make_shared<accepted_configuration>();
  accepted->revision = published.revision;
  accepted->content = std::move(parsed.content);
  return accepted;
}

/// @brief One run of a trace: endpoints, hosts and the state they are told.
class replay_run {
 public:
  replay_run(const trace& trace, const traffic_policy_options& options)
      : trace_(trace),
        options_(options),
        around_{events_, tally_, trace.network,
                [this](const std::string& address) {
                  return endpoints_.at(address).get();
                }},
        shares_(events_, trace.network.cross_domain) {
    MakeEndpoints();
  }

  replay_result Run() {
    ScheduleControl();
    ScheduleFaults();
    for (const trace_arrival& arrival : trace_.arrivals) {
      events_.At(start_ + arrival.at, [this, &arrival] { Arrive(arrival); });
    }
    const duration last =
        trace_.arrivals.empty() ? duration{} : trace_.arrivals.back().at;
    events_.RunUntil(start_ + last + kAfterLastArrival);
    replay_result result = tally_.Result();
    for (const auto& [address, endpoint] : endpoints_) {
      result.prefill += Seconds(endpoint->Prefill());
    }
    return result;
  }

 private:
  void MakeEndpoints() {
    for (const trace_endpoint& where : trace_.endpoints) {
      const auto model = std::find_if(
          trace_.models.begin(), trace_.models.end(),
          [&](const auto& one) { return one.service == where.service; });
      if (model == trace_.models.end()) {
        throw trace_error(0, "no endpoint_model for " + where.service);
      }
      endpoints_[where.address] = std::make_unique<modelled_endpoint>(
          events_, where, *model, StableHash(where.address, trace_.seed));
    }
  }

  void ScheduleControl() {
    for (const trace_configuration& published : trace_.configurations) {
      const auto accepted = Accept(published);
      events_.At(start_ + published.at,
                 [this, accepted] { UseConfiguration(accepted); });
    }
    for (const trace_host_list& list : trace_.host_lists) {
      events_.At(start_ + list.at, [this, &list] { UseHosts(list.hosts); });
    }
    std::set<std::string> recorded;
    for (const trace_load_report& report : trace_.load_reports) {
      recorded.insert(report.service);
      events_.At(start_ + report.at, [this, &report] {
        load_report& load = recorded_[report.address];
        load = report.load;
        load.received = events_.Now();
      });
    }
    for (const auto& [address, endpoint] : endpoints_) {
      if (recorded.count(endpoint->Where().service) == 0) {
        endpoint->StartReports();
      }
    }
    events_.At(start_, [this] {
      shares_.Start();
      PublishSnapshot();
    });
  }

  void UseConfiguration(const accepted_configuration_ptr& accepted) {
    accepted_ = accepted;
    shares_.UseLimits(accepted->content.workspaces);
  }

  void UseHosts(const std::vector<trace_host>& hosts) {
    hosts_ = &hosts;
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const trace_host& host : hosts) {
      names.push_back(host.name);
    }
    shares_.UseHosts(names);
  }

  void ScheduleFaults() {
    for (const trace_fault& fault : trace_.faults) {
      for (const auto& [address, endpoint] : endpoints_) {
        const bool named =
            std::find(fault.addresses.begin(), fault.addresses.end(),
                      address) != fault.addresses.end();
        const bool in_domain =
            !fault.failure_domain.empty() &&
            endpoint->Where().failure_domain == fault.failure_domain;
        if (!named && !in_domain) {
          continue;
        }
        modelled_endpoint* hit = endpoint.get();
        events_.At(start_ + fault.from, [hit, &fault] { hit->Begin(fault); });
        events_.At(start_ + fault.until, [hit, &fault] { hit->End(fault); });
      }
    }
  }

  void PublishSnapshot() {
    const std::shared_ptr<const control_snapshot> common = MakeSnapshot();
    for (const trace_host& host : *hosts_) {
      auto own = std::make_shared<control_snapshot>(*common);
      own->shares = shares_.Shares(host.name);
      snapshots_[host.name] = own;
      for (const auto& lane : LanesOf(host)) {
        lane->UseSnapshot(own);
      }
    }
    events_.After(kSnapshotInterval, [this] { PublishSnapshot(); });
  }

  control_snapshot_ptr MakeSnapshot() const {
    auto snapshot = std::make_shared<control_snapshot>();
    snapshot->configuration = accepted_;
    snapshot->live_hosts = static_cast<std::uint32_t>(hosts_->size());
    for (const auto& [name, config] : accepted_->content.services) {
      snapshot->services[name].config = config;
    }
    for (const auto& [address, endpoint] : endpoints_) {
      const auto service = snapshot->services.find(endpoint->Where().service);
      if (service != snapshot->services.end()) {
        service->second.endpoints.push_back(ViewOf(*endpoint));
      }
    }
    return snapshot;
  }

  endpoint_view ViewOf(const modelled_endpoint& endpoint) const {
    endpoint_view view;
    view.where = {endpoint.Where().address, endpoint.Where().failure_domain};
    const auto recorded = recorded_.find(endpoint.Where().address);
    view.load =
        recorded != recorded_.end() ? recorded->second : endpoint.Report();
    if (!endpoint.ReportedPrefixes().empty()) {
      view.cached_prefixes = std::make_shared<const std::vector<std::uint64_t>>(
          endpoint.ReportedPrefixes());
    }
    return view;
  }

  using lane_list = std::vector<std::unique_ptr<replay_lane>>;

  lane_list& LanesOf(const trace_host& host) {
    lane_list& lanes = lanes_[host.name];
    while (lanes.size() < std::max(1U, host.lanes)) {
      traffic_policy_options options = options_;
      options.host_name = host.name;
      options.failure_domain = host.failure_domain;
      options.lanes = host.lanes;
      options.seed = trace_.seed + options_.seed + lanes.size();
      lanes.push_back(std::make_unique<replay_lane>(
          around_, options, [this, name = host.name]() -> demand_estimate& {
            return shares_.Demand(name);
          }));
      const auto told = snapshots_.find(host.name);
      if (told != snapshots_.end()) {
        lanes.back()->UseSnapshot(told->second);
      }
    }
    return lanes;
  }

  void Arrive(const trace_arrival& arrival) {
    const trace_host& host = hosts_->at(arrival.host % hosts_->size());
    lane_list& lanes = LanesOf(host);
    lanes[turns_[host.name]++ % lanes.size()]->Arrive(arrival);
  }

  const trace& trace_;
  traffic_policy_options options_;
  const time_point start_{std::chrono::hours(1)};
  event_queue events_{start_};
  replay_tally tally_;
  std::map<std::string, std::unique_ptr<modelled_endpoint>> endpoints_;
  replay_surroundings around_;
  accepted_configuration_ptr accepted_;
  const std::vector<trace_host>* hosts_ = nullptr;
  std::map<std::string, load_report> recorded_;
  std::map<std::string, lane_list> lanes_;
  std::map<std::string, std::size_t> turns_;
  share_exchange shares_;
  std::map<std::string, control_snapshot_ptr> snapshots_;  ///< By host.
};

}  // namespace

replay_result Replay(const trace& trace,
                     const traffic_policy_options& options) {
  replay_run run(trace, options);
  return run.Run();
}

traffic_policy_options NaivePolicy() {
  constexpr double kRetryEverything = 1e9;
  traffic_policy_options options;
  options.routing = routing_rule::kRoundRobin;
  options.hedging = false;
  options.early_refusal = false;
  options.queueing = false;
  options.learned_timeouts = false;
  options.retry_budget = kRetryEverything;
  options.ejection = false;
  options.domain_circuit = false;
  return options;
}

traffic_policy_options LeastInFlightPolicy() {
  traffic_policy_options options = NaivePolicy();
  options.routing = routing_rule::kLeastInFlight;
  options.retry_budget = traffic_policy_options().retry_budget;
  return options;
}

}  // namespace slatestall
